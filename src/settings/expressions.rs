//! Parses single expressions of the operators' settings file: a setting's name with a number or a boolean, or
//! a named segment. Errors state the line.

use cypressgap_recovery::segments::NamedSegment;
use cypressgap_recovery::settings::parse_segment;
use lexpr::datum::Ref;
use std::time::Duration;

/// An invalid expression or setting.
pub(super) struct Problem {
    /// The line on which the expression starts, counted from 1.
    pub line: usize,
    /// What is wrong, with the name of the setting if it is known.
    pub text: String,
}

impl Problem {
    pub fn new(line: usize, text: impl Into<String>) -> Problem {
        Problem {
            line,
            text: text.into(),
        }
    }
}

/// Why a named number is not a valid setting.
#[derive(Debug, thiserror::Error)]
pub(super) enum NumberError {
    #[error("{name}: {value} is outside the range from {min} to {max}")]
    OutOfRange {
        name: String,
        value: f64,
        min: f64,
        max: f64,
    },
    #[error("unknown setting '{0}'")]
    UnknownSetting(String),
    #[error("recovery: unknown setting '{0}'")]
    UnknownRecoverySetting(String),
}

/// A name and a number that are not checked yet: the name may be unknown, or the number out of range.
pub(super) struct NamedNumber {
    pub name: String,
    pub value: f64,
}

impl NamedNumber {
    /// The number, if it is from `min` to `max`.
    pub fn within(&self, min: f64, max: f64) -> Result<f64, NumberError> {
        if self.value >= min && self.value <= max {
            return Ok(self.value);
        }
        Err(NumberError::OutOfRange {
            name: self.name.clone(),
            value: self.value,
            min,
            max,
        })
    }

    /// The number as a duration in seconds, if it is from `min` to `max`.
    pub fn to_duration(&self, min: f64, max: f64) -> Result<Duration, NumberError> {
        self.within(min, max).map(Duration::from_secs_f64)
    }

    /// The number rounded down to an integer, if it is from `min` to `max`.
    pub fn to_integer(&self, min: f64, max: f64) -> Result<usize, NumberError> {
        self.within(min, max).map(|x| x as usize)
    }
}

/// The line on which an expression starts, counted from 1.
pub(super) fn start_line(item: &Ref<'_>) -> usize {
    item.span().start().line()
}

/// The name of the symbol that an expression consists of. None: it is not a symbol.
pub(super) fn symbol_name(item: &Ref<'_>) -> Option<String> {
    item.value().as_symbol().map(str::to_owned)
}

/// The name of the symbol that starts a list. None: the expression is not such a list.
pub(super) fn head_symbol(item: &Ref<'_>) -> Option<String> {
    symbol_name(&item.list_iter()?.next()?)
}

/// Parses `(NAME NUMBER)`.
pub(super) fn parse_named_number(item: &Ref<'_>) -> Result<NamedNumber, Problem> {
    let line = start_line(item);
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
    let Some(value) = value.as_f64() else {
        let text = format!("{name}: the value must be a number");
        return Err(Problem::new(line, text));
    };
    Ok(NamedNumber {
        name: name.to_owned(),
        value,
    })
}

/// Parses `(enabled #t)` or `(enabled #f)`.
pub(super) fn parse_enabled(item: &Ref<'_>) -> Result<bool, Problem> {
    let parts: Vec<Ref<'_>> = item.list_iter().into_iter().flatten().collect();
    let value = match parts.as_slice() {
        [_, value] => value.value().as_bool(),
        _ => None,
    };
    value.ok_or_else(|| Problem::new(start_line(item), "enabled: expected #t or #f"))
}

/// Parses `(segment "NAME" "NETWORK")`.
pub(super) fn parse_named_segment(item: &Ref<'_>) -> Result<NamedSegment, Problem> {
    let line = start_line(item);
    let parts: Vec<Ref<'_>> = item.list_iter().into_iter().flatten().collect();
    let texts = match parts.as_slice() {
        [_, name, network] => name.value().as_str().zip(network.value().as_str()),
        _ => None,
    };
    let expected = "expected (segment \"NAME\" \"NETWORK\")";
    let (name, network) = texts.ok_or_else(|| Problem::new(line, expected))?;
    let net = parse_segment(network)
        .map_err(|text| Problem::new(line, format!("segment {name}: {text}")))?;
    Ok(NamedSegment {
        name: name.to_owned(),
        net,
    })
}
