; A fifth of all datagrams lost, some doubled, a third late.
(day lossy
  (seed 10) (length 12000) (notice 1200)
  (fleet "town.fleet")
  (callers (rate 32) (share status-check 0.89) (share proof-pull 0.11) (redials 2) (backoff 700))
  (at 3000 (network 6000 (loss 0.2) (twice 0.05) (late 0.3 80))))
