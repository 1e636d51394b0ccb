; Offices stand still by turns.
(day office-stall
  (seed 17) (length 12000) (notice 1200)
  (fleet "town.fleet")
  (callers (rate 32) (share status-check 0.89) (share proof-pull 0.11) (redials 2) (backoff 700))
  (at 2000 (freeze e1 1800))
  (at 5000 (freeze e2 1800))
  (at 7000 (freeze (any 2) 1700)))
