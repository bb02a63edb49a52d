//! The operators' own settings: an S-expression of names and values.
//!
//! `(cypressgap (NAME NUMBER) ... (recovery (NAME VALUE) ... (segment "NAME" "NETWORK") ...))`. Everything
//! unknown or out of range is refused with its name and line.

use super::{
    read, Operations, Settings, SettingsError, MIN_FRONT, OWN_SOCKETS, PEER_SOCKETS, WORKERS_PART,
};
use crate::core::model::Tuning;
use cypressgap_recovery::segments::NamedSegment;
use cypressgap_recovery::settings::{parse_segment, Deployment, RecoverySettings, SettingName};
use lexpr::datum::Ref;
use std::collections::HashMap;
use std::path::Path;
use std::time::Duration;

/// What is wrong, and in which line.
struct Problem {
    line: usize,
    text: String,
}

impl Problem {
    fn new(line: usize, text: impl Into<String>) -> Problem {
        Problem {
            line,
            text: text.into(),
        }
    }
}

/// A number that must lie within bounds.
struct Number<'a> {
    name: &'a str,
    value: f64,
}

impl Number<'_> {
    fn within(&self, low: f64, high: f64) -> Result<f64, String> {
        if self.value >= low && self.value <= high {
            return Ok(self.value);
        }
        Err(format!(
            "{}: {} is not from {low} to {high}",
            self.name, self.value
        ))
    }

    fn seconds(&self, low: f64, high: f64) -> Result<Duration, String> {
        self.within(low, high).map(Duration::from_secs_f64)
    }

    fn whole(&self, low: f64, high: f64) -> Result<usize, String> {
        self.within(low, high).map(|x| x as usize)
    }
}

impl Settings {
    /// Reads the operators' file over the built-in values.
    pub fn load_operators(&mut self, path: &Path) -> Result<(), SettingsError> {
        let text = read(path)?;
        self.parse_operators(&path.display().to_string(), &text)
    }

    /// Reads the operators' own settings over the defaults.
    pub fn parse_operators(&mut self, path: &str, text: &str) -> Result<(), SettingsError> {
        self.take_operators(text)
            .map_err(|problem| SettingsError::Lisp {
                path: path.to_owned(),
                line: problem.line,
                problem: problem.text,
            })
    }

    fn take_operators(&mut self, text: &str) -> Result<(), Problem> {
        let root = lexpr::datum::from_str(text).map_err(|e| {
            let line = e.location().map_or(1, |l| l.line());
            Problem::new(line, format!("not an S-expression: {e}"))
        })?;
        let expected = || Problem::new(1, "expected (cypressgap (NAME VALUE) ...)");
        let mut items = root.list_iter().ok_or_else(expected)?;
        if items.next().and_then(|head| symbol(&head)).as_deref() != Some("cypressgap") {
            return Err(expected());
        }
        let mut recovery_lines = HashMap::new();
        for item in items {
            if head_of(&item).as_deref() == Some("recovery") {
                take_recovery(&mut self.config.recovery, &item, &mut recovery_lines)?;
            } else {
                let number = named_number(&item)?;
                let taken = set(
                    &mut self.config.tuning,
                    &mut self.operations,
                    number.0,
                    number.1,
                );
                taken.map_err(|text| Problem::new(line_of(&item), text))?;
            }
        }
        self.check_sockets()?;
        self.check_recovery(&recovery_lines)
    }

    fn check_sockets(&self) -> Result<(), Problem> {
        let threads = self.operations.agents + self.operations.handlers;
        let own = PEER_SOCKETS + OWN_SOCKETS + threads + MIN_FRONT;
        let all = self.quota.sockets;
        if all / WORKERS_PART + own <= all {
            return Ok(());
        }
        let text = format!("agents and handlers: {threads} are too many for {all} sockets");
        Err(Problem::new(1, text))
    }

    /// What the settings of a takeover come to together, and with the deployment's.
    fn check_recovery(&self, lines: &HashMap<SettingName, usize>) -> Result<(), Problem> {
        let deployment = Deployment {
            cancel: self.config.cancel,
            machines: self.config.tuning.max_machines,
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

fn line_of(item: &Ref<'_>) -> usize {
    item.span().start().line()
}

fn symbol(item: &Ref<'_>) -> Option<String> {
    item.value().as_symbol().map(str::to_owned)
}

fn head_of(item: &Ref<'_>) -> Option<String> {
    symbol(&item.list_iter()?.next()?)
}

/// `(NAME NUMBER)`.
fn named_number(item: &Ref<'_>) -> Result<(String, f64), Problem> {
    let line = line_of(item);
    let pair: Vec<lexpr::Value> = item
        .list_iter()
        .map(|l| l.map(|r| r.value().clone()).collect())
        .unwrap_or_default();
    let [name, value] = pair.as_slice() else {
        return Err(Problem::new(line, "expected (NAME VALUE)"));
    };
    let Some(name) = name.as_symbol() else {
        return Err(Problem::new(line, "the name must be a symbol"));
    };
    let Some(number) = value.as_f64() else {
        let text = format!("{name}: the value must be a number");
        return Err(Problem::new(line, text));
    };
    Ok((name.to_owned(), number))
}

fn set(t: &mut Tuning, o: &mut Operations, name: String, value: f64) -> Result<(), String> {
    let name = name.as_str();
    let number = Number { name, value };
    match name {
        "summary-every-s" => t.summary_every = number.seconds(1.0, 3600.0)?,
        "silent-share" => t.silent_share = number.within(0.2, 2.0)?,
        "idle-spot-s" => t.idle_spot = number.seconds(0.0, 86_400.0)?,
        "idle-ordinary-s" => t.idle_ordinary = number.seconds(0.0, 86_400.0)?,
        "max-live-jobs" => t.max_live_jobs = number.whole(1.0, 1e6)?,
        "headroom-jobs" => t.headroom_jobs = number.within(0.0, 100.0)?,
        "max-hosts" => t.max_machines = number.whole(1.0, 1e5)?,
        "leader-lease-s" => o.leader_lease = number.seconds(1.0, 600.0)?,
        "handlers" => o.handlers = number.whole(2.0, 256.0)?,
        "agents" => o.agents = number.whole(1.0, 64.0)?,
        "metrics-every-s" => o.metrics_every = number.seconds(1.0, 86_400.0)?,
        _ => return Err(format!("unknown setting '{name}'")),
    }
    Ok(())
}

/// `(recovery ...)`. `lines` is told where the settings stand that are checked together later.
fn take_recovery(
    recovery: &mut RecoverySettings,
    form: &Ref<'_>,
    lines: &mut HashMap<SettingName, usize>,
) -> Result<(), Problem> {
    for item in form.list_iter().into_iter().flatten().skip(1) {
        let line = line_of(&item);
        match head_of(&item).as_deref() {
            Some("segment") => {
                let segment = named_segment(&item)?;
                lines.insert(SettingName::Segment(segment.name.clone()), line);
                recovery.segments.push(segment);
            }
            Some("enabled") => recovery.enabled = named_switch(&item)?,
            _ => {
                let (name, value) = named_number(&item)?;
                match name.as_str() {
                    "orders-per-s" => lines.insert(SettingName::OrdersPerSecond, line),
                    "segment-orders-per-s" => {
                        lines.insert(SettingName::SegmentOrdersPerSecond, line)
                    }
                    _ => None,
                };
                set_recovery(recovery, &name, value).map_err(|text| Problem::new(line, text))?;
            }
        }
    }
    Ok(())
}

fn set_recovery(recovery: &mut RecoverySettings, name: &str, value: f64) -> Result<(), String> {
    let number = Number { name, value };
    match name {
        "orders-per-s" => recovery.orders_per_second = Some(number.within(1.0, 1e6)?),
        "segment-orders-per-s" => {
            recovery.segment_orders_per_second = Some(number.within(1.0, 1e6)?)
        }
        "segment-prefix" => recovery.prefixes.v4 = number.whole(8.0, 32.0)? as u8,
        "segment-prefix-v6" => recovery.prefixes.v6 = number.whole(16.0, 128.0)? as u8,
        "replacements-per-s" => recovery.replacements_per_second = number.within(0.1, 1e4)?,
        "unrecorded-hold-s" => recovery.unrecorded_hold = number.seconds(2.0, 86_400.0)?,
        _ => return Err(format!("recovery: unknown setting '{name}'")),
    }
    Ok(())
}

/// `(NAME #t)` or `(NAME #f)`.
fn named_switch(item: &Ref<'_>) -> Result<bool, Problem> {
    let parts: Vec<Ref<'_>> = item.list_iter().into_iter().flatten().collect();
    let value = match parts.as_slice() {
        [_, value] => value.value().as_bool(),
        _ => None,
    };
    value.ok_or_else(|| Problem::new(line_of(item), "enabled: expected #t or #f"))
}

/// `(segment "NAME" "NETWORK")`.
fn named_segment(item: &Ref<'_>) -> Result<NamedSegment, Problem> {
    let line = line_of(item);
    let parts: Vec<Ref<'_>> = item.list_iter().into_iter().flatten().collect();
    let texts = match parts.as_slice() {
        [_, name, net] => name.value().as_str().zip(net.value().as_str()),
        _ => None,
    };
    let Some((name, net)) = texts else {
        return Err(Problem::new(
            line,
            "expected (segment \"NAME\" \"NETWORK\")",
        ));
    };
    let net =
        parse_segment(net).map_err(|text| Problem::new(line, format!("segment {name}: {text}")))?;
    Ok(NamedSegment {
        name: name.to_owned(),
        net,
    })
}
