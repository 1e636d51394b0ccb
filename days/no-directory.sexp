; The directory says nothing while a processor dies and another is replaced.
(day no-directory
  (seed 15) (length 12000) (notice 1200)
  (fleet "town.fleet")
  (callers (rate 32) (share status-check 0.89) (share proof-pull 0.11) (redials 2) (backoff 700))
  (at 2000 (directory 7000))
  (at 3000 (crash e1 1500))
  (at 4000 (replace e3 1500)))
