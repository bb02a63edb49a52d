//! Expressions of the operators' settings file: names with a number, a switch or a segment. Errors name the
//! line.

use cypressgap_recovery::segments::NamedSegment;
use cypressgap_recovery::settings::parse_segment;
use lexpr::datum::Ref;
use std::time::Duration;

/// What is wrong, and in which line.
pub(super) struct Problem {
    pub line: usize,
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

/// Why a number cannot be used.
#[derive(Debug, thiserror::Error)]
pub(super) enum NumberError {
    #[error("{name}: {value} is not from {min} to {max}")]
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

/// A named number, to be checked against the bounds of its setting.
pub(super) struct NamedNumber {
    pub name: String,
    pub value: f64,
}

impl NamedNumber {
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

    pub fn duration_within(&self, min: f64, max: f64) -> Result<Duration, NumberError> {
        self.within(min, max).map(Duration::from_secs_f64)
    }

    /// A whole number; a fraction is cut off.
    pub fn integer_within(&self, min: f64, max: f64) -> Result<usize, NumberError> {
        self.within(min, max).map(|x| x as usize)
    }
}

/// The line on which an expression begins, from 1.
pub(super) fn start_line(item: &Ref<'_>) -> usize {
    item.span().start().line()
}

/// The name that an expression is, if it is one.
pub(super) fn symbol_name(item: &Ref<'_>) -> Option<String> {
    item.value().as_symbol().map(str::to_owned)
}

/// The name that a list begins with.
pub(super) fn head_symbol(item: &Ref<'_>) -> Option<String> {
    symbol_name(&item.list_iter()?.next()?)
}

/// `(NAME NUMBER)`.
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

/// `(NAME #t)` or `(NAME #f)`.
pub(super) fn parse_enabled(item: &Ref<'_>) -> Result<bool, Problem> {
    let parts: Vec<Ref<'_>> = item.list_iter().into_iter().flatten().collect();
    let value = match parts.as_slice() {
        [_, value] => value.value().as_bool(),
        _ => None,
    };
    value.ok_or_else(|| Problem::new(start_line(item), "enabled: expected #t or #f"))
}

/// `(segment "NAME" "NETWORK")`.
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
