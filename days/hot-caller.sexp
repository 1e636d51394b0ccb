; One office gets five times its callers.
(day hot-caller
  (seed 9) (length 12000) (notice 1200)
  (fleet "town.fleet")
  (callers (rate 32) (share status-check 0.89) (share proof-pull 0.11) (redials 2) (backoff 700))
  (at 3000 (hot-caller e4 6000 5)))
