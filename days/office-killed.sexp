; Offices killed and started again.
(day office-killed
  (seed 16) (length 12000) (notice 1200)
  (fleet "town.fleet")
  (callers (rate 32) (share status-check 0.89) (share proof-pull 0.11) (redials 2) (backoff 700))
  (at 3000 (kill e2 1500))
  (at 6000 (kill e5 800)))
