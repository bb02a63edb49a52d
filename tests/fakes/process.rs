//! Whole nodes as processes of their own, which are killed without a signal that they could answer.

use super::test_cluster::TestCluster;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

/// A controller process. It is killed when this goes.
pub struct NodeProcess {
    child: Child,
    files: Vec<PathBuf>,
}

impl NodeProcess {
    /// Node `n` of a site, with the platform's settings edited and these operators' settings.
    pub fn start(
        cluster: &TestCluster,
        n: usize,
        edit: impl Fn(String) -> String,
        operators: &str,
    ) -> NodeProcess {
        let folder = std::env::temp_dir();
        let name = format!(
            "cypressgap-{}-{}",
            std::process::id(),
            cluster.members[n].1.port()
        );
        let config = folder.join(format!("{name}.toml"));
        let own = folder.join(format!("{name}.lisp"));
        std::fs::write(&config, edit(cluster.config(n))).expect("the settings are written");
        std::fs::write(&own, operators).expect("the operators' settings are written");
        let program = std::env::var_os("NODE_PROGRAM");
        let program = program.unwrap_or_else(|| env!("CARGO_BIN_EXE_cypressgap").into());
        let child = Command::new(program)
            .arg("--operators")
            .arg(&own)
            .arg("--config")
            .arg(&config)
            .env("LOG_LEVEL", "info")
            .stdin(Stdio::null())
            .stderr(log_of(&name))
            .spawn()
            .expect("a node starts");
        let files = vec![config, own];
        NodeProcess { child, files }
    }

    /// The number of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Ends the process at once.
    pub fn kill(mut self) {
        self.end();
    }

    fn end(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        self.end();
        for file in &self.files {
            let _ = std::fs::remove_file(file);
        }
    }
}

/// Logs are kept in the folder that `NODE_LOGS` names, if it does.
fn log_of(name: &str) -> Stdio {
    let Some(folder) = std::env::var_os("NODE_LOGS") else {
        return Stdio::null();
    };
    let path = PathBuf::from(folder).join(format!("{name}.log"));
    let file = std::fs::OpenOptions::new()
        .create(true)
        .append(true)
        .open(path);
    file.map_or_else(|_| Stdio::null(), Stdio::from)
}
