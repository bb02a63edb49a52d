//! Runs one case of the review: `world CASE ROOT RECORD`, where ROOT is the root of the repository and RECORD the
//! file for the record.

mod awaits;
mod cluster;
mod codec;
mod gang_fetch;
mod quota;
mod site;
mod small_tasks;
mod spread_gang;
mod store;
mod world;

use std::path::Path;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, root, record] = &arguments[..] else {
        std::process::exit(cluster::COULD_NOT_RUN);
    };
    let (root, record) = (Path::new(root), Path::new(record));
    let code = match case.as_str() {
        "small-tasks" => small_tasks::run(root, record),
        "gang-fetch" => gang_fetch::run(root, record),
        "spread-gang" => spread_gang::run(root, record),
        "quota" => quota::run(root, record),
        "awaits" => awaits::run(root, record),
        _ => cluster::COULD_NOT_RUN,
    };
    std::process::exit(code);
}
