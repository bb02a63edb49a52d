//! The command line of the controller.

use clap::Parser;
use cypressgap::runtime::service::Service;
use cypressgap::settings::{Settings, SettingsError};
use log::LevelFilter;
use std::path::PathBuf;
use std::process::ExitCode;

/// Exit code for settings that cannot be read or are invalid.
const EXIT_INVALID_SETTINGS: u8 = 2;

/// A cluster scheduler: one controller node.
#[derive(Parser)]
#[command(version, about)]
struct Arguments {
    /// The platform's settings file (TOML)
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
    /// The operators' own settings (an S-expression)
    #[arg(long, value_name = "FILE", env = "CYPRESSGAP_OPERATORS")]
    operators: Option<PathBuf>,
    /// Check the settings and exit
    #[arg(long)]
    check: bool,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    start_logging();
    let settings = match load_settings(&arguments) {
        Ok(settings) => settings,
        Err(e) => {
            eprintln!("cypressgap: {e}");
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    if arguments.check {
        print_settings(&settings);
        return ExitCode::SUCCESS;
    }
    serve(settings)
}

/// Starts logging: messages of this program from the level in `LOG_LEVEL` (`debug`, `error`, otherwise info),
/// and only errors of other crates.
fn start_logging() {
    let level = match std::env::var("LOG_LEVEL").as_deref() {
        Ok("debug") => LevelFilter::Debug,
        Ok("error") => LevelFilter::Error,
        _ => LevelFilter::Info,
    };
    env_logger::Builder::new()
        .filter_level(LevelFilter::Error)
        .filter_module("cypressgap", level)
        .format_timestamp_millis()
        .init();
}

fn load_settings(arguments: &Arguments) -> Result<Settings, SettingsError> {
    let mut settings = Settings::load(&arguments.config)?;
    if let Some(path) = &arguments.operators {
        settings.load_operators(path)?;
    }
    Ok(settings)
}

/// Prints the warnings about the settings and the limits of the state service that result from them, for
/// `--check`.
fn print_settings(settings: &Settings) {
    for warning in settings.warnings() {
        eprintln!("cypressgap: warning: {warning}");
    }
    println!("settings are valid: member {}", settings.member);
    let config = &settings.config;
    println!(
        "state service: values of up to {} bytes, up to {} changes per transaction",
        config.value_bytes, config.txn_ops
    );
    if let Some(next) = settings.next_store_rates {
        println!(
            "state service, when its rates are reduced: {} requests, {} changes per second",
            next.requests, next.changes
        );
    }
}

/// Runs the service until it stops.
fn serve(settings: Settings) -> ExitCode {
    match Service::start(settings) {
        Ok(service) => {
            service.wait();
            service.stop();
            ExitCode::SUCCESS
        }
        Err(e) => {
            eprintln!("cypressgap: cannot start: {e}");
            ExitCode::FAILURE
        }
    }
}
