//! Errors in the settings files. Each error names the file, and the setting or the line to correct.

/// Why a settings file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// Reading the file failed.
    #[error("cannot read {path}: {source}")]
    Read {
        /// The path of the file.
        path: String,
        /// The error from the file system.
        source: std::io::Error,
    },
    /// The platform's file is not valid TOML, a required field is missing, or a field has the wrong type.
    #[error("{path}: {source}")]
    Toml {
        /// The path of the file.
        path: String,
        /// The parser's error, which states the position in the file.
        source: Box<toml::de::Error>,
    },
    /// A field of the platform's file has an invalid value.
    #[error("{path}: {field}: {problem}")]
    Field {
        /// The path of the file.
        path: String,
        /// The field's name, with the names of its tables.
        field: String,
        /// What is wrong with the value.
        problem: String,
    },
    /// The operators' file is malformed, or a setting in it is unknown or out of range.
    #[error("{path}: line {line}: {problem}")]
    Operators {
        /// The path of the file.
        path: String,
        /// The line on which the invalid expression starts, counted from 1.
        line: usize,
        /// The setting's name and what is wrong with it.
        problem: String,
    },
}
