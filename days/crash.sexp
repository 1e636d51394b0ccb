; Processors die and come back cold.
(day crash
  (seed 5) (length 12000) (notice 1200)
  (fleet "town.fleet")
  (callers (rate 32) (share status-check 0.89) (share proof-pull 0.11) (redials 2) (backoff 700))
  (at 3000 (crash e1 2000))
  (at 7000 (crash e4 1500)))
