//! Checks of single fields of the platform's settings file.

use super::SettingsError;
use std::net::SocketAddr;
use std::time::Duration;

/// The maximum of the durations that are given in seconds in the platform's settings file: one day.
const MAX_DURATION_S: f64 = 86_400.0;

/// Checks the fields of one file. Errors name the file and the field.
pub(super) struct FieldChecks<'a> {
    /// The path of the file, for errors.
    pub path: &'a str,
}

impl FieldChecks<'_> {
    pub fn error(&self, field: &str, problem: impl Into<String>) -> SettingsError {
        SettingsError::Field {
            path: self.path.to_owned(),
            field: field.to_owned(),
            problem: problem.into(),
        }
    }

    pub fn parse_address(&self, field: &str, text: &str) -> Result<SocketAddr, SettingsError> {
        text.parse()
            .map_err(|_| self.error(field, format!("'{text}' is not an IP address and port")))
    }

    /// Checks that a number is above 0 and at most `max`.
    pub fn check_positive(&self, field: &str, value: f64, max: f64) -> Result<f64, SettingsError> {
        if value.is_finite() && value > 0.0 && value <= max {
            return Ok(value);
        }
        Err(self.error(field, format!("{value} must be above 0 and at most {max}")))
    }

    /// Checks that a duration in seconds is above 0 and at most one day.
    pub fn check_duration(&self, field: &str, value: f64) -> Result<Duration, SettingsError> {
        self.check_positive(field, value, MAX_DURATION_S)
            .map(Duration::from_secs_f64)
    }

    /// Checks that a number is at least `min`.
    pub fn check_min(&self, field: &str, value: f64, min: f64) -> Result<(), SettingsError> {
        if value >= min {
            return Ok(());
        }
        let problem = format!("{value} is below the minimum of {min}");
        Err(self.error(field, problem))
    }

    /// Checks an amount for which 0 means that it is not set. Returns `None` for 0.
    pub fn check_optional_amount(
        &self,
        field: &str,
        value: f64,
    ) -> Result<Option<f64>, SettingsError> {
        if value.is_finite() && value >= 0.0 {
            return Ok((value > 0.0).then_some(value));
        }
        Err(self.error(
            field,
            format!("{value} must be a finite number and at least 0"),
        ))
    }
}
