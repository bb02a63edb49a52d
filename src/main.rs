//! The command line.

use clap::Parser;
use cypressgap::runtime::service::Service;
use cypressgap::settings::Settings;
use std::path::PathBuf;
use std::process::ExitCode;

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
    let level = match std::env::var("LOG_LEVEL").as_deref() {
        Ok("debug") => log::LevelFilter::Debug,
        Ok("error") => log::LevelFilter::Error,
        _ => log::LevelFilter::Info,
    };
    env_logger::Builder::new()
        .filter_level(log::LevelFilter::Error)
        .filter_module("cypressgap", level)
        .format_timestamp_millis()
        .init();
    let settings = Settings::load(&arguments.config).and_then(|mut s| {
        if let Some(path) = &arguments.operators {
            s.load_operators(path)?;
        }
        Ok(s)
    });
    let settings = match settings {
        Ok(s) => s,
        Err(e) => {
            eprintln!("cypressgap: {e}");
            return ExitCode::from(2);
        }
    };
    if arguments.check {
        for warning in settings.warnings() {
            eprintln!("cypressgap: warning: {warning}");
        }
        println!("settings are valid: member {}", settings.member);
        let p = &settings.config;
        println!(
            "state service: values of {} bytes, {} changes a transaction",
            p.value_bytes, p.txn_ops
        );
        if let Some(next) = settings.next_store_rates {
            println!(
                "state service, once it refuses more: {} requests, {} changes a second",
                next.requests, next.changes
            );
        }
        return ExitCode::SUCCESS;
    }
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
