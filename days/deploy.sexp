; Processors drained and replaced one after another.
(day deploy
  (seed 7) (length 12000) (notice 1200)
  (fleet "town.fleet")
  (callers (rate 32) (share status-check 0.89) (share proof-pull 0.11) (redials 2) (backoff 700))
  (at 2000 (replace e1 1500))
  (at 5000 (replace e2 1500))
  (at 8000 (replace e3 1500)))
