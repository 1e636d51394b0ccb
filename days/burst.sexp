; All callers dial two and a half times as much.
(day burst
  (seed 4) (length 12000) (notice 1200)
  (fleet "town.fleet")
  (callers (rate 32) (share status-check 0.89) (share proof-pull 0.11) (redials 2) (backoff 700))
  (at 4000 (burst 4000 2.5)))
