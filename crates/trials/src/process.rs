//! Child processes of a trial.

use std::env;
use std::ffi::OsString;
use std::fs;
use std::fs::File;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use async_io::Timer;
use derive_more::Add;
use derive_more::Display;
use derive_more::Sum;

use crate::error::Condition;
use crate::error::Error;
use crate::error::Result;

const POLL_INTERVAL: Duration = Duration::from_millis(10);
const TICKS_PER_SECOND: f64 = 100.0;
const BYTES_PER_KIB: u64 = 1_024;
/// Fields of `/proc/PID/stat` between the command name and the user time.
const FIELDS_BEFORE_USER_TIME: usize = 11;

/// Executable of the workspace.
#[derive(Clone, Copy, Debug, Display)]
pub enum Program {
    /// Node.
    #[display("celeryshore")]
    Node,
    /// Stand-in: the platform, targets or a relay.
    #[display("examples/standin")]
    StandIn,
}

/// Signal to a process, displayed as an option of `kill`.
#[derive(Clone, Copy, Debug, Display)]
pub enum Signal {
    /// Asks the process to drain and exit.
    #[display("-TERM")]
    Terminate,
    /// Suspends the process.
    #[display("-STOP")]
    Stop,
    /// Resumes a suspended process.
    #[display("-CONT")]
    Continue,
}

/// Resource usage of a process.
#[derive(Clone, Copy, Debug, Default, Add, Sum)]
pub struct Usage {
    /// Resident memory in bytes.
    pub memory: u64,
    /// CPU time in user and system mode.
    pub cpu_time: Duration,
}

/// Child process, killed when dropped.
#[derive(Debug)]
pub struct Process(Child);

impl Process {
    /// Starts a program and appends its output to a log file.
    ///
    /// # Errors
    ///
    /// Fails if the program has not been built or doesn't start.
    pub fn start(program: Program, args: &[OsString], log: &Path) -> Result<Self> {
        let log = File::options().append(true).create(true).open(log)?;
        let child = Command::new(program_path(program)?)
            .args(args)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        Ok(Self(child))
    }

    /// Kills the process and waits for its end.
    ///
    /// # Errors
    ///
    /// Fails if the process can't be signalled.
    pub fn kill(&mut self) -> Result<()> {
        self.0.kill()?;
        self.0.wait()?;
        Ok(())
    }

    /// Sends a signal to the process.
    ///
    /// # Errors
    ///
    /// Fails if the `kill` command can't be run.
    pub fn signal(&self, signal: Signal) -> Result<()> {
        let pid = self.0.id().to_string();
        Command::new("kill")
            .args([signal.to_string(), pid])
            .status()?;
        Ok(())
    }

    /// Waits until the process exits by itself.
    ///
    /// # Errors
    ///
    /// Fails if the process doesn't exit within the timeout.
    pub async fn wait_exit(&mut self, timeout: Duration) -> Result<ExitStatus> {
        let deadline = Instant::now() + timeout;
        while Instant::now() < deadline {
            if let Some(status) = self.0.try_wait()? {
                return Ok(status);
            }
            Timer::after(POLL_INTERVAL).await;
        }
        Err(Error::Timeout(Condition::Exited))
    }

    /// Returns the resource usage of the process so far, or zero if it can't be
    /// read.
    #[must_use]
    pub fn usage(&self) -> Usage {
        let dir = PathBuf::from("/proc").join(self.0.id().to_string());
        let status = fs::read_to_string(dir.join("status")).unwrap_or_default();
        let stat = fs::read_to_string(dir.join("stat")).unwrap_or_default();
        Usage {
            memory: parse_memory(&status).unwrap_or_default(),
            cpu_time: parse_cpu_time(&stat).unwrap_or_default(),
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.kill();
    }
}

// Cargo puts programs one directory above examples and tests.
fn program_path(program: Program) -> Result<PathBuf> {
    let own = env::current_exe()?;
    let dir = own.ancestors().nth(2).unwrap_or(&own);
    let path = dir.join(program.to_string());
    if path.exists() {
        return Ok(path);
    }
    Err(Error::NotBuilt(path.display().to_string()))
}

fn parse_memory(status: &str) -> Option<u64> {
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"))?;
    let kib: u64 = line.trim().strip_suffix(" kB")?.parse().ok()?;
    Some(kib * BYTES_PER_KIB)
}

fn parse_cpu_time(stat: &str) -> Option<Duration> {
    let (_, fields) = stat.rsplit_once(") ")?;
    let mut times = fields.split(' ').skip(FIELDS_BEFORE_USER_TIME);
    let user: f64 = times.next()?.parse().ok()?;
    let system: f64 = times.next()?.parse().ok()?;
    Some(Duration::from_secs_f64((user + system) / TICKS_PER_SECOND))
}
