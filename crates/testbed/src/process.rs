//! A child process that can be suspended, resumed and killed. It is killed when its handle is dropped.

use std::io;
use std::process::{Child, Command, ExitStatus};

use rustix::process::{Pid, Signal, kill_process};

/// A running child process.
#[derive(Debug)]
pub struct Process {
    child: Child,
    suspended: bool,
}

impl Process {
    /// Starts a command.
    ///
    /// # Errors
    ///
    /// Returns an error if the command cannot be started.
    pub fn start(command: &mut Command) -> io::Result<Self> {
        Ok(Process { child: command.spawn()?, suspended: false })
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    fn signal(&self, signal: Signal) -> io::Result<()> {
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        let pid = pid.ok_or_else(|| io::Error::other("process id out of range"))?;
        kill_process(pid, signal).map_err(io::Error::from)
    }

    /// Suspends the process (SIGSTOP): its connections stay open, but it neither reads nor writes.
    ///
    /// # Errors
    ///
    /// Returns an error if the signal cannot be sent.
    pub fn suspend(&mut self) -> io::Result<()> {
        self.suspended = true;
        self.signal(Signal::STOP)
    }

    /// Resumes the process (SIGCONT).
    ///
    /// # Errors
    ///
    /// Returns an error if the signal cannot be sent.
    pub fn resume(&mut self) -> io::Result<()> {
        self.suspended = false;
        self.signal(Signal::CONT)
    }

    /// Whether the process is suspended.
    pub fn is_suspended(&self) -> bool {
        self.suspended
    }

    /// Sends SIGTERM and waits until the process has ended.
    ///
    /// # Errors
    ///
    /// Returns an error if the signal cannot be sent or the process cannot be waited for.
    pub fn terminate(&mut self) -> io::Result<ExitStatus> {
        self.signal(Signal::TERM)?;
        self.child.wait()
    }

    /// Kills the process (SIGKILL) and waits until it has ended.
    ///
    /// # Errors
    ///
    /// Returns an error if the signal cannot be sent or the process cannot be waited for.
    pub fn kill(&mut self) -> io::Result<()> {
        self.child.kill()?;
        self.child.wait().map(drop)
    }

    /// Returns the exit status, or `None` while the process runs.
    ///
    /// # Errors
    ///
    /// Returns an error if the state of the process cannot be read.
    pub fn exit_status(&mut self) -> io::Result<Option<ExitStatus>> {
        self.child.try_wait()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
