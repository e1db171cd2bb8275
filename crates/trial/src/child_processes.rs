//! Processes that a trial starts; they are killed when the trial ends.

use std::fs::File;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;

use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;

use crate::trial_error::TrialError;

/// Processes that a trial started, and the directory of their files.
///
/// Dropping it kills the processes and removes the directory, unless the
/// environment variable CROCUSHOIST_TRIAL_KEEP is set to keep it.
#[derive(Debug)]
pub struct ChildProcesses {
    directory: PathBuf,
    children: Vec<(String, Child)>,
}

impl ChildProcesses {
    /// Creates the directory; no process runs yet.
    ///
    /// Fails if the directory cannot be created.
    pub fn new() -> Result<Self, TrialError> {
        let directory =
            std::env::temp_dir().join(format!("crocushoist-trial-{}", std::process::id()));
        std::fs::create_dir_all(&directory)?;
        Ok(ChildProcesses {
            directory,
            children: Vec::new(),
        })
    }

    /// Directory of logs and settings files.
    pub fn directory(&self) -> &Path {
        &self.directory
    }

    /// Starts `program`, found in the directory of this executable, under the name `name`.
    ///
    /// Its standard error is appended to `name.log`. Fails if it cannot be started.
    pub fn start(
        &mut self,
        name: &str,
        program: &str,
        arguments: &[String],
    ) -> Result<(), TrialError> {
        let start_error = |error| TrialError::Start {
            program: program.to_owned(),
            error,
        };
        let path = std::env::current_exe()?.with_file_name(program);
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.directory.join(format!("{name}.log")))?;
        let child = Command::new(path)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .map_err(start_error)?;
        self.children.push((name.to_owned(), child));
        Ok(())
    }

    /// Sends `signal` to the newest process called `name`.
    pub fn signal(&self, name: &str, signal: Signal) {
        if let Some((_, child)) = self
            .children
            .iter()
            .rev()
            .find(|(child_name, _)| child_name == name)
            && let Some(pid) = Pid::from_raw(child.id() as i32)
        {
            let _ = kill_process(pid, signal);
        }
    }

    /// Whether the newest process called `name` has ended or was never started.
    pub fn has_ended(&mut self, name: &str) -> bool {
        let newest = self
            .children
            .iter_mut()
            .rev()
            .find(|(child_name, _)| child_name == name);
        newest.is_none_or(|(_, child)| matches!(child.try_wait(), Ok(Some(_))))
    }
}

impl Drop for ChildProcesses {
    fn drop(&mut self) {
        for (_, child) in &mut self.children {
            let _ = child.kill();
        }
        for (_, child) in &mut self.children {
            let _ = child.wait();
        }
        if std::env::var_os("CROCUSHOIST_TRIAL_KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.directory);
        }
    }
}
