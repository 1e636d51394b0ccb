; All processors of a zone die at once and come back cold.
(day mass-restart
  (seed 14) (length 12000) (notice 1200)
  (fleet "town.fleet")
  (callers (rate 32) (share status-check 0.89) (share proof-pull 0.11) (redials 2) (backoff 700))
  (at 4000 (crash (zone east) 1500)))
