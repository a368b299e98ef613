//! Daemons as separate processes, which a test can kill, pause and stop.

use crate::cluster::{self, Cluster};
use catkinshed::settings::Settings;
use compact_str::{CompactString, format_compact};
use serde_json::json;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Longest wait for a daemon to become ready or to exit.
const PATIENCE: Duration = Duration::from_secs(30);

/// A running process of this project; it is killed when dropped.
pub struct Running {
    child: Child,
    name: String,
}

impl Running {
    /// Starts `binary` with these arguments, a settings file last.
    ///
    /// # Panics
    ///
    /// Panics when the process cannot be started.
    pub fn start(binary: &str, name: &str, words: &[&str], settings: &Path) -> Self {
        let child = Command::new(binary)
            .args(words)
            .arg("--settings")
            .arg(settings)
            .stdin(Stdio::null())
            .env("RUST_LOG", std::env::var("RUST_LOG").unwrap_or_else(|_| "error".to_owned()))
            .env("ROCKET_LOG_LEVEL", "off")
            .spawn()
            .expect("the daemon starts");
        Self { child, name: name.to_owned() }
    }

    /// Id of the process.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process at once.
    pub fn kill(&mut self) {
        // A process that has ended already needs no signal.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Pauses the process.
    pub fn pause(&self) {
        self.signal(libc::SIGSTOP);
    }

    /// Lets a paused process go on.
    pub fn resume(&self) {
        self.signal(libc::SIGCONT);
    }

    /// Asks the process to stop.
    pub fn terminate(&self) {
        self.signal(libc::SIGTERM);
    }

    /// Tells the process that its settings changed.
    pub fn reload(&self) {
        self.signal(libc::SIGHUP);
    }

    /// Tells whether the process has ended by itself.
    pub fn has_exited(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Waits until the process exits, and returns its exit code.
    ///
    /// # Panics
    ///
    /// Panics when the process does not exit.
    pub async fn wait_for_exit(&mut self) -> Option<i32> {
        let started = Instant::now();
        loop {
            if let Ok(Some(status)) = self.child.try_wait() {
                return status.code();
            }
            assert!(started.elapsed() < PATIENCE, "{} does not exit", self.name);
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    fn signal(&self, signal: libc::c_int) {
        // SAFETY: the process was started here and has not been waited for, so its id is its own.
        unsafe { libc::kill(self.child.id() as libc::pid_t, signal) };
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A daemon process; it is killed when dropped.
pub struct Process {
    /// Its settings.
    pub settings: Settings,
    running: Running,
    folder: PathBuf,
}

impl Process {
    /// Starts the daemon binary with the settings of the daemon with this number.
    ///
    /// # Panics
    ///
    /// Panics when the process cannot be started.
    pub fn start(binary: &str, cluster: &Cluster, number: usize, folder: &Path) -> Self {
        Self::start_with(binary, cluster.settings(number), folder)
    }

    /// Starts the daemon binary with these settings.
    ///
    /// # Panics
    ///
    /// Panics when the process cannot be started.
    pub fn start_with(binary: &str, settings: Settings, folder: &Path) -> Self {
        let folder = folder.join(settings.vm.as_str());
        let path = write_settings(&settings, &folder);
        let running = Running::start(binary, &settings.vm, &[], &path);
        Self { settings, running, folder }
    }

    /// Starts the daemon again after it has ended, at the same addresses.
    pub fn restart(&mut self, binary: &str) {
        self.kill();
        let folder = self.folder.parent().unwrap_or(Path::new(".")).to_owned();
        *self = Self::start_with(binary, self.settings.clone(), &folder);
    }

    /// Address for callers.
    pub fn addr(&self) -> CompactString {
        format_compact!("{}", self.settings.http_addr)
    }

    /// Waits until the daemon serves.
    ///
    /// # Panics
    ///
    /// Panics when the daemon does not become ready.
    pub async fn ready(&self) {
        let url = format!("http://{}/readyz", self.settings.http_addr);
        let started = Instant::now();
        loop {
            let answer = reqwest::get(&url).await;
            if answer.is_ok_and(|answer| answer.status().is_success()) {
                return;
            }
            assert!(started.elapsed() < PATIENCE, "{} is not ready", self.settings.vm);
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Kills the process at once.
    pub fn kill(&mut self) {
        self.running.kill();
    }

    /// Pauses the process.
    pub fn pause(&self) {
        self.running.pause();
    }

    /// Lets a paused process go on.
    pub fn resume(&self) {
        self.running.resume();
    }

    /// Asks the process to stop, and returns its exit code.
    ///
    /// # Panics
    ///
    /// Panics when the process does not exit.
    pub async fn stop(&mut self) -> Option<i32> {
        self.running.terminate();
        self.running.wait_for_exit().await
    }
}

/// Stand-ins and the daemon processes that run against them.
pub struct Fleet {
    /// The stand-ins.
    pub cluster: Cluster,
    /// The daemons.
    pub daemons: Vec<Process>,
    binary: &'static str,
    folder: PathBuf,
}

impl Fleet {
    /// Starts stand-ins and `count` daemons, and waits until all serve.
    pub async fn start(
        binary: &'static str,
        name: &str,
        spec: cluster::Spec,
        count: usize,
    ) -> Self {
        let cluster = Cluster::start(spec).await;
        let folder = format!("catkinshed-{}-{name}", std::process::id());
        let folder = std::env::temp_dir().join(folder);
        let start = |number| Process::start(binary, &cluster, number, &folder);
        let daemons: Vec<Process> = (0..count).map(start).collect();
        for daemon in &daemons {
            daemon.ready().await;
        }
        Self { cluster, daemons, binary, folder }
    }

    /// Addresses for callers.
    pub fn addrs(&self) -> Vec<CompactString> {
        self.daemons.iter().map(Process::addr).collect()
    }

    /// Kills a daemon where it still runs, and starts it again.
    pub async fn restart(&mut self, number: usize) {
        self.daemons[number].restart(self.binary);
        self.daemons[number].ready().await;
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        // The folder may be gone already.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Writes a settings file and its keys file; returns the path of the first.
fn write_settings(settings: &Settings, folder: &Path) -> PathBuf {
    std::fs::create_dir_all(folder).expect("a folder for settings");
    let keys = cluster::keys();
    let keys = json!({
        "cluster": keys.cluster,
        "teams": keys.teams,
        "operators": keys.operators,
    });
    std::fs::write(folder.join("keys.json"), keys.to_string()).expect("the keys are written");
    let settings = Settings { keys_file: "keys.json".into(), ..settings.clone() };
    let text = serde_json::to_string_pretty(&settings).expect("settings as JSON");
    let path = folder.join("settings.json");
    std::fs::write(&path, format!("// Written by the test harness.\n{text}\n")).expect("written");
    path
}
