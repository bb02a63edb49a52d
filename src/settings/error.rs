//! Errors of the settings files. Each names the file and the setting or line to mend.

/// Why a settings file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("cannot read {path}: {source}")]
    Read {
        /// Path of the file.
        path: String,
        /// The error of the file system.
        source: std::io::Error,
    },
    /// The platform's file is not TOML, or lacks a field.
    #[error("{path}: {source}")]
    Toml {
        /// Path of the file.
        path: String,
        /// The parser's error, with its position.
        source: Box<toml::de::Error>,
    },
    /// A field of the platform's file has a value that cannot be used.
    #[error("{path}: {field}: {problem}")]
    Field {
        /// Path of the file.
        path: String,
        /// The field with its table.
        field: String,
        /// What is wrong with the value.
        problem: String,
    },
    /// The operators' file is malformed, or a setting in it is unknown or out of range.
    #[error("{path}: line {line}: {problem}")]
    Operators {
        /// Path of the file.
        path: String,
        /// The line of the faulty expression, from 1.
        line: usize,
        /// The setting and what is wrong with it.
        problem: String,
    },
}
