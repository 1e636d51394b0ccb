; Two zones see nothing of each other for longer than offices wait.
(day parted
  (seed 18) (length 12000) (notice 1200)
  (fleet "town.fleet")
  (callers (rate 32) (share status-check 0.89) (share proof-pull 0.11) (redials 2) (backoff 700))
  (at 3000 (network 8000 (loss 1) (between (zone north) (zone east)))))
