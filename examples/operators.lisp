;; Operators' own settings. Everything left out keeps its default.
(cypressgap
  (leader-lease-s 4)
  (summary-every-s 30)
  (idle-spot-s 45))
