; The operators' settings that `run` in deploy/service.toml uses. Each subsystem that is newer than the
; scheduler itself has its switch here; docs/operations.md lists the names, ranges and defaults.
(cypressgap
 ; How a new leader takes over the fleet (docs/recovery.md).
 (recovery (enabled #t)))
