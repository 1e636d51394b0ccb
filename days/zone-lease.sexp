; Parts of a budget that offices lend each other: words between them lost, doubled and late, an office that stands still
; past its lease and wakes, half a zone's offices killed at once, the budget lowered to a third and to nothing, and back.
(day zone-lease
  (seed 12) (length 44000) (notice 1200)
  (fleet
    (service status-check (width 1) (mean-hold 2000))
    (service proof-pull (width 4) (value 2) (post-dial-target 1500) (mean-hold 2000))
    (rules (warm-after 6000))
    (mesh 8 (zones north east) (circuits 22) (capacity 60) (seed 9))
    (budget north east 36 (dividing lent) (overrun end) (class proof-pull (guaranteed 8)))
    (budget east north 36 (dividing lent)))
  (callers (rate 30) (share status-check 0.89) (share proof-pull 0.11) (redials 1) (backoff 700))
  (at 3000 (hot-caller e1 8000 4))
  (at 4000 (network 12000 (loss 0.1) (twice 0.1) (late 0.1 300)))
  (at 8000 (freeze e3 12000))
  (at 23000 (kill e5 900))
  (at 23000 (kill e7 900))
  (at 27000 (budget north east 12))
  (at 31000 (budget east north 0))
  (at 35000 (budget north east 36))
  (at 35000 (budget east north 36)))
