; Offices frozen across the drain of an exchange, past its grace.
(day stall-in-drain
  (seed 20) (length 12000) (notice 1200)
  (fleet "town.fleet")
  (callers (rate 32) (share status-check 0.89) (share proof-pull 0.11) (redials 2) (backoff 700))
  (at 4000 (freeze (any 3) 1600))
  (at 4200 (replace e2 2500)))
