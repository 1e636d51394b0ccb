; Half the circuits between one zone and the others are lost for a while.
(day lost-circuits
  (seed 11) (length 12000) (notice 1200)
  (fleet "town.fleet")
  (callers (rate 32) (share status-check 0.89) (share proof-pull 0.11) (redials 2) (backoff 700))
  (at 3000 (lose-circuits (zone north) 6000 0.5)))
