; Datagrams cut short and doubled.
(day cut-short
  (seed 6) (length 12000) (notice 1200)
  (fleet "town.fleet")
  (callers (rate 32) (share status-check 0.89) (share proof-pull 0.11) (redials 2) (backoff 700))
  (at 3000 (network 6000 (cut-short 0.05) (twice 0.1))))
