; Budgets between zones, a flood of one class over them, and an office that stands still.
(day zone-budget
  (seed 8) (length 14000) (notice 1200)
  (fleet
    (service status-check (width 1) (mean-hold 2000))
    (service proof-pull (width 4) (value 2) (post-dial-target 1500) (mean-hold 2000))
    (rules (warm-after 6000))
    (mesh 6 (zones north east) (circuits 22) (capacity 60) (seed 9))
    (budget north east 24 (class status-check (most 14)) (class proof-pull (guaranteed 12)))
    (budget east north 24))
  (callers (rate 36) (share status-check 0.89) (share proof-pull 0.11) (redials 1) (backoff 700))
  (at 4000 (burst 5000 2.5))
  (at 6000 (freeze e2 1500)))
