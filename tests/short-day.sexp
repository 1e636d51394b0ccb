; Eight seconds on sockets: an office frozen and one killed, a processor lost, a bad network.
(day short-day
  (seed 3) (length 8000) (notice 500)
  (fleet
    (service status-check (mean-hold 800))
    (service proof-pull (width 4) (value 2) (post-dial-target 1500) (mean-hold 800))
    (rules (warm-after 3000))
    (mesh 4 (zones north east) (circuits 16) (capacity 100)))
  (callers (rate 25) (share status-check 0.9) (share proof-pull 0.1) (redials 1))
  (network (same-zone 2) (cross-zone 6))
  (at 1500 (freeze e2 1200))
  (at 2500 (network 1500 (loss 0.15) (twice 0.05) (late 0.2 40)))
  (at 3500 (crash e3 1000))
  (at 5000 (kill e4 800))
  (at 6000 (replace e1 700)))
