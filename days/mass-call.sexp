; A fifth of all sessions dials one number with four lines.
(day mass-call
  (seed 12) (length 12000) (notice 1200)
  (fleet "town.fleet")
  (callers (rate 32) (share status-check 0.89) (share proof-pull 0.11) (redials 2) (backoff 700))
  (at 3000 (mass-call e5 6000 0.2)))
