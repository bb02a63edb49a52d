//! Reconciliation of the stored state with the state that the machines report in their heartbeats.

mod absence_proofs;
mod acknowledgements;
mod command_pacing;
mod commands;
mod direct_commands;
mod failover_progress;
mod gang_assembly;
mod heartbeat_order;
mod heartbeats;
pub(crate) mod launch_check;
mod listed_attempts;
mod machine_status;
mod reported_tasks;
mod state_loading;
pub mod stored_snapshot;
pub(in crate::core) mod unreadable_records;
mod unrecorded_tasks;
