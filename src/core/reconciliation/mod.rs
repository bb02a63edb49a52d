//! Squaring the stored state with what the workers' heartbeats show.

pub(crate) mod commands;
pub(crate) mod heartbeats;
pub(crate) mod launch_check;
pub(crate) mod order_pacing;
pub mod state_loading;
pub(crate) mod unrecorded_tasks;
