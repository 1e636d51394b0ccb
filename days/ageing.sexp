; A processor twice as slow every 1.2 s, until it dies and comes back cold.
(day ageing
  (seed 3) (length 12000) (notice 1200)
  (fleet "town.fleet")
  (callers (rate 32) (share status-check 0.89) (share proof-pull 0.11) (redials 2) (backoff 700))
  (at 2000 (age e3 6000 1200)))
