; Half of all standing sessions are cut and their callers come back.
(day mass-cut
  (seed 13) (length 12000) (notice 1200)
  (fleet "town.fleet")
  (callers (rate 32) (share status-check 0.89) (share proof-pull 0.11) (redials 2) (backoff 700))
  (at 5000 (cut all 0.5)))
