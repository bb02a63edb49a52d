//! Parses the operators' settings file, which consists of one S-expression:
//!
//! `(cypressgap (NAME NUMBER) ... (recovery (NAME VALUE) ... (segment "NAME" "NETWORK") ...))`
//!
//! An unknown setting and a value out of range are errors; they name the setting and its line.

use super::expressions::{
    head_symbol, parse_enabled, parse_named_number, parse_named_segment, start_line, symbol_name,
    NamedNumber, NumberError, Problem,
};
use super::{OperatorSettings, Settings, SettingsError, SocketBudget};
use crate::core::model::Tuning;
use cypressgap_recovery::settings::{Deployment, RecoverySettings, SettingName};
use lexpr::datum::Ref;
use std::collections::HashMap;

/// The lines of the settings that are checked against each other after all settings have been read.
type SettingLines = HashMap<SettingName, usize>;

impl Settings {
    /// Parses the text of the operators' settings file, and replaces the values of the settings that it
    /// names. `path` is only used in errors. After an error, some of the values may already be replaced.
    pub fn parse_operators(&mut self, path: &str, text: &str) -> Result<(), SettingsError> {
        self.apply_operators(text)
            .map_err(|problem| SettingsError::Operators {
                path: path.to_owned(),
                line: problem.line,
                problem: problem.text,
            })
    }

    fn apply_operators(&mut self, text: &str) -> Result<(), Problem> {
        let root = lexpr::datum::from_str(text).map_err(|e| {
            let line = e.location().map_or(1, |l| l.line());
            Problem::new(line, format!("not an S-expression: {e}"))
        })?;
        let expected = || Problem::new(1, "expected (cypressgap (NAME VALUE) ...)");
        let mut items = root.list_iter().ok_or_else(expected)?;
        if items.next().and_then(|head| symbol_name(&head)).as_deref() != Some("cypressgap") {
            return Err(expected());
        }
        let mut lines = SettingLines::new();
        for item in items {
            self.apply_item(&item, &mut lines)?;
        }
        self.check_sockets()?;
        self.check_recovery(&lines)
    }

    fn apply_item(&mut self, item: &Ref<'_>, lines: &mut SettingLines) -> Result<(), Problem> {
        if head_symbol(item).as_deref() == Some("recovery") {
            return apply_recovery(&mut self.config.recovery, item, lines);
        }
        let number = parse_named_number(item)?;
        apply_number(
            &mut self.config.tuning,
            &mut self.operator_settings,
            &number,
        )
        .map_err(|e| Problem::new(start_line(item), e.to_string()))
    }

    fn check_sockets(&self) -> Result<(), Problem> {
        let max_sockets = self.max_sockets;
        if SocketBudget::is_sufficient(max_sockets, &self.operator_settings) {
            return Ok(());
        }
        let threads = self.operator_settings.command_threads + self.operator_settings.api_threads;
        let text = format!(
            "agents and handlers: {threads} threads are too many for {max_sockets} sockets"
        );
        Err(Problem::new(1, text))
    }

    /// Checks the settings of recovery against each other and against those of the deployment.
    fn check_recovery(&self, lines: &SettingLines) -> Result<(), Problem> {
        let deployment = Deployment {
            cancellation_deadline: self.config.cancel,
            max_machines: self.config.tuning.max_machines,
        };
        let Err(unusable) = self.config.recovery.validate(deployment) else {
            return Ok(());
        };
        let name = match &unusable.setting {
            SettingName::OrdersPerSecond => "orders-per-s".to_owned(),
            SettingName::SegmentOrdersPerSecond => "segment-orders-per-s".to_owned(),
            SettingName::Segment(name) => format!("segment {name}"),
        };
        let line = lines.get(&unusable.setting).copied().unwrap_or(1);
        let text = format!("recovery: {name}: {}", unusable.problem);
        Err(Problem::new(line, text))
    }
}

fn apply_number(
    tuning: &mut Tuning,
    operators: &mut OperatorSettings,
    number: &NamedNumber,
) -> Result<(), NumberError> {
    match number.name.as_str() {
        "summary-every-s" => tuning.summary_interval = number.to_duration(1.0, 3600.0)?,
        "silent-share" => tuning.silent_lease_fraction = number.within(0.2, 2.0)?,
        "idle-spot-s" => tuning.spot_idle_timeout = number.to_duration(0.0, 86_400.0)?,
        "idle-ordinary-s" => tuning.on_demand_idle_timeout = number.to_duration(0.0, 86_400.0)?,
        "max-live-jobs" => tuning.max_live_jobs = number.to_integer(1.0, 1e6)?,
        "headroom-jobs" => tuning.headroom_jobs = number.within(0.0, 100.0)?,
        "max-hosts" => tuning.max_machines = number.to_integer(1.0, 1e5)?,
        "leader-lease-s" => operators.leader_lease = number.to_duration(1.0, 600.0)?,
        "handlers" => operators.api_threads = number.to_integer(2.0, 256.0)?,
        "agents" => operators.command_threads = number.to_integer(1.0, 64.0)?,
        "metrics-every-s" => operators.metrics_interval = number.to_duration(1.0, 86_400.0)?,
        name => return Err(NumberError::UnknownSetting(name.to_owned())),
    }
    Ok(())
}

/// Applies `(recovery ...)`. The lines of settings that are checked against each other later are added to
/// `lines`.
fn apply_recovery(
    recovery: &mut RecoverySettings,
    form: &Ref<'_>,
    lines: &mut SettingLines,
) -> Result<(), Problem> {
    for item in form.list_iter().into_iter().flatten().skip(1) {
        let line = start_line(&item);
        match head_symbol(&item).as_deref() {
            Some("segment") => {
                let segment = parse_named_segment(&item)?;
                lines.insert(SettingName::Segment(segment.name.clone()), line);
                recovery.segments.push(segment);
            }
            Some("enabled") => recovery.enabled = parse_enabled(&item)?,
            _ => {
                let number = parse_named_number(&item)?;
                if let Some(name) = jointly_checked_setting(&number.name) {
                    lines.insert(name, line);
                }
                apply_recovery_number(recovery, &number)
                    .map_err(|e| Problem::new(line, e.to_string()))?;
            }
        }
    }
    Ok(())
}

/// The setting in `(recovery ...)` with this name, if its validity depends on other settings.
fn jointly_checked_setting(name: &str) -> Option<SettingName> {
    match name {
        "orders-per-s" => Some(SettingName::OrdersPerSecond),
        "segment-orders-per-s" => Some(SettingName::SegmentOrdersPerSecond),
        _ => None,
    }
}

fn apply_recovery_number(
    recovery: &mut RecoverySettings,
    number: &NamedNumber,
) -> Result<(), NumberError> {
    match number.name.as_str() {
        "orders-per-s" => recovery.orders_per_second = Some(number.within(1.0, 1e6)?),
        "segment-orders-per-s" => {
            recovery.segment_orders_per_second = Some(number.within(1.0, 1e6)?);
        }
        "segment-prefix" => recovery.prefixes.v4 = number.to_integer(8.0, 32.0)? as u8,
        "segment-prefix-v6" => recovery.prefixes.v6 = number.to_integer(16.0, 128.0)? as u8,
        "replacements-per-s" => recovery.replacements_per_second = number.within(0.1, 1e4)?,
        "unrecorded-hold-s" => recovery.unrecorded_hold = number.to_duration(2.0, 86_400.0)?,
        name => return Err(NumberError::UnknownRecoverySetting(name.to_owned())),
    }
    Ok(())
}
