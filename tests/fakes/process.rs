//! Controllers as separate processes. They are ended by SIGKILL, so that none can shut down in order.

use super::test_cluster::TestCluster;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

/// A controller process. It is killed when this value is dropped.
pub struct NodeProcess {
    child: Child,
    /// Its settings files, which are removed when this value is dropped.
    files: Vec<PathBuf>,
}

impl NodeProcess {
    /// Starts node `n` of the cluster. `edit` changes the platform's settings, a TOML text; `operators` is
    /// the text of the operators' settings. The program is the build under test, or the one that
    /// `NODE_PROGRAM` names.
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
        let operators_file = folder.join(format!("{name}.lisp"));
        std::fs::write(&config, edit(cluster.platform_settings(n)))
            .expect("the settings are written");
        std::fs::write(&operators_file, operators).expect("the operators' settings are written");
        let program = std::env::var_os("NODE_PROGRAM");
        let program = program.unwrap_or_else(|| env!("CARGO_BIN_EXE_cypressgap").into());
        let child = Command::new(program)
            .arg("--operators")
            .arg(&operators_file)
            .arg("--config")
            .arg(&config)
            .env("LOG_LEVEL", "info")
            .stdin(Stdio::null())
            .stderr(log_output(&name))
            .spawn()
            .expect("a node starts");
        let files = vec![config, operators_file];
        NodeProcess { child, files }
    }

    /// The process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process and waits until it has ended.
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

/// Where a node's log goes: to a file in the folder that `NODE_LOGS` names, or nowhere if that is not set.
fn log_output(name: &str) -> Stdio {
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
