; Two processors several times slower.
(day slow
  (seed 19) (length 12000) (notice 1200)
  (fleet "town.fleet")
  (callers (rate 32) (share status-check 0.89) (share proof-pull 0.11) (redials 2) (backoff 700))
  (at 3000 (slow (any 2) 6000 5)))
