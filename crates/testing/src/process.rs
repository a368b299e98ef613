//! Runs daemons as separate processes that a test can kill, pause and stop.

use crate::cluster::{self, Cluster};
use catkinshed::settings::Settings;
use compact_str::{CompactString, format_compact};
use serde_json::json;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Time limit for a daemon to become ready or to exit.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Child process that is killed when dropped.
pub struct Process {
    child: Child,
    name: String,
}

impl Process {
    /// Starts `binary` with `args`, followed by `--settings` and the path of the settings file.
    ///
    /// # Panics
    ///
    /// Panics if the process cannot be started.
    pub fn start(binary: &str, name: &str, args: &[&str], settings: &Path) -> Self {
        let child = Command::new(binary)
            .args(args)
            .arg("--settings")
            .arg(settings)
            .stdin(Stdio::null())
            .env("RUST_LOG", std::env::var("RUST_LOG").unwrap_or_else(|_| "error".to_owned()))
            .env("ROCKET_LOG_LEVEL", "off")
            .spawn()
            .expect("failed to start the daemon process");
        Self { child, name: name.to_owned() }
    }

    /// Returns the process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends SIGKILL and waits for the process to end.
    pub fn kill(&mut self) {
        // Fails only if the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Pauses the process with SIGSTOP.
    pub fn pause(&self) {
        self.signal(libc::SIGSTOP);
    }

    /// Resumes a paused process with SIGCONT.
    pub fn resume(&self) {
        self.signal(libc::SIGCONT);
    }

    /// Requests a graceful stop with SIGTERM.
    pub fn terminate(&self) {
        self.signal(libc::SIGTERM);
    }

    /// Makes the process reload its settings with SIGHUP.
    pub fn reload(&self) {
        self.signal(libc::SIGHUP);
    }

    /// Returns whether the process has exited on its own.
    pub fn has_exited(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Waits until the process exits and returns its exit code; `None` if a signal ended it.
    ///
    /// # Panics
    ///
    /// Panics if the process does not exit within 30 s.
    pub async fn wait_for_exit(&mut self) -> Option<i32> {
        let started = Instant::now();
        loop {
            if let Ok(Some(status)) = self.child.try_wait() {
                return status.code();
            }
            assert!(started.elapsed() < WAIT_TIMEOUT, "{} did not exit in time", self.name);
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    fn signal(&self, number: libc::c_int) {
        signal(self.child.id(), number);
    }
}

/// Sends a signal to a process that was started here and has not been reaped, so that its id still
/// refers to it.
pub fn signal(pid: u32, number: libc::c_int) {
    // SAFETY: `kill` has no memory-safety preconditions.
    unsafe { libc::kill(pid as libc::pid_t, number) };
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Scheduler daemon that runs as a child process and is killed when dropped.
pub struct Daemon {
    /// Settings that the process was started with.
    pub settings: Settings,
    process: Process,
    dir: PathBuf,
}

impl Daemon {
    /// Starts the daemon binary with the cluster's settings for daemon `number`.
    ///
    /// # Panics
    ///
    /// Panics if the process cannot be started.
    pub fn start(binary: &str, cluster: &Cluster, number: usize, dir: &Path) -> Self {
        Self::start_with(binary, cluster.settings(number), dir)
    }

    /// Starts the daemon binary with `settings`, in a subdirectory of `dir` named after the VM.
    ///
    /// # Panics
    ///
    /// Panics if the process cannot be started.
    pub fn start_with(binary: &str, settings: Settings, dir: &Path) -> Self {
        let dir = dir.join(settings.vm.as_str());
        let path = write_settings(&settings, &dir);
        let process = Process::start(binary, &settings.vm, &[], &path);
        Self { settings, process, dir }
    }

    /// Kills the daemon if it is running and starts it again at the same addresses.
    pub fn restart(&mut self, binary: &str) {
        self.kill();
        let dir = self.dir.parent().unwrap_or(Path::new(".")).to_owned();
        *self = Self::start_with(binary, self.settings.clone(), &dir);
    }

    /// Returns the HTTP address for callers.
    pub fn addr(&self) -> CompactString {
        format_compact!("{}", self.settings.http_addr)
    }

    /// Waits until the daemon reports itself ready.
    ///
    /// # Panics
    ///
    /// Panics if the daemon is not ready within 30 s.
    pub async fn ready(&self) {
        let url = format!("http://{}/readyz", self.settings.http_addr);
        let started = Instant::now();
        loop {
            let response = reqwest::get(&url).await;
            if response.is_ok_and(|response| response.status().is_success()) {
                return;
            }
            assert!(
                started.elapsed() < WAIT_TIMEOUT,
                "{} did not become ready in time",
                self.settings.vm
            );
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Sends SIGKILL and waits for the process to end.
    pub fn kill(&mut self) {
        self.process.kill();
    }

    /// Pauses the process with SIGSTOP.
    pub fn pause(&self) {
        self.process.pause();
    }

    /// Resumes a paused process with SIGCONT.
    pub fn resume(&self) {
        self.process.resume();
    }

    /// Stops the process with SIGTERM and returns its exit code.
    ///
    /// # Panics
    ///
    /// Panics if the process does not exit within 30 s.
    pub async fn stop(&mut self) -> Option<i32> {
        self.process.terminate();
        self.process.wait_for_exit().await
    }
}

/// Cluster of fakes and the daemon processes that run against it.
pub struct Fleet {
    /// Fakes of the external systems.
    pub cluster: Cluster,
    /// Daemon processes.
    pub daemons: Vec<Daemon>,
    binary: &'static str,
    dir: PathBuf,
}

impl Fleet {
    /// Starts the fakes and `count` daemons, and waits until all daemons are ready.
    pub async fn start(
        binary: &'static str,
        name: &str,
        spec: cluster::Spec,
        count: usize,
    ) -> Self {
        let cluster = Cluster::start(spec).await;
        let dir = format!("catkinshed-{}-{name}", std::process::id());
        let dir = std::env::temp_dir().join(dir);
        let start = |number| Daemon::start(binary, &cluster, number, &dir);
        let daemons: Vec<Daemon> = (0..count).map(start).collect();
        for daemon in &daemons {
            daemon.ready().await;
        }
        Self { cluster, daemons, binary, dir }
    }

    /// Returns the HTTP addresses of all daemons for callers.
    pub fn addrs(&self) -> Vec<CompactString> {
        self.daemons.iter().map(Daemon::addr).collect()
    }

    /// Restarts daemon `number`, killing it first if it is running, and waits until it is ready.
    pub async fn restart(&mut self, number: usize) {
        self.daemons[number].restart(self.binary);
        self.daemons[number].ready().await;
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        // The directory may already be gone.
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

/// Writes a settings file and its keys file into `dir` and returns the path of the settings file.
fn write_settings(settings: &Settings, dir: &Path) -> PathBuf {
    std::fs::create_dir_all(dir).expect("failed to create the settings directory");
    let keys = cluster::keys();
    let keys = json!({
        "cluster": keys.cluster,
        "teams": keys.teams,
        "operators": keys.operators,
    });
    std::fs::write(dir.join("keys.json"), keys.to_string()).expect("failed to write the keys file");
    let settings = Settings { keys_file: "keys.json".into(), ..settings.clone() };
    let text = serde_json::to_string_pretty(&settings).expect("failed to serialize the settings");
    let path = dir.join("settings.json");
    std::fs::write(&path, format!("// Written by the test harness.\n{text}\n"))
        .expect("failed to write the settings file");
    path
}
