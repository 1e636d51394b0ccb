; A machine goes silent and comes back cold.
(day vanish
  (seed 21) (length 12000) (notice 1200)
  (fleet "town.fleet")
  (callers (rate 32) (share status-check 0.89) (share proof-pull 0.11) (redials 2) (backoff 700))
  (at 3000 (vanish e2 4000)))
