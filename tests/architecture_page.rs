//! The page that newcomers begin with names only what exists.

use std::path::Path;

const PAGE: &str = include_str!("../docs/architecture.md");

/// The parts of the page that are set as code and look like paths below the repository's root.
fn paths() -> impl Iterator<Item = &'static str> {
    let code = PAGE.split('`').skip(1).step_by(2);
    code.filter(|text| {
        ["src/", "crates/", "tests/", "docs/", "deploy/"]
            .iter()
            .any(|folder| text.starts_with(folder))
    })
}

#[test]
fn every_path_on_the_architecture_page_exists() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let missing: Vec<&str> = paths().filter(|p| !root.join(p).exists()).collect();
    assert_eq!(missing, Vec::<&str>::new());
    assert!(paths().count() > 30, "the page names its modules");
}
