//! A process of the program that can be suspended, resumed and killed. It is killed when its handle is dropped.

use std::io;
use std::process::{Child, Command, ExitStatus};

use rustix::process::{Pid, Signal, kill_process};

/// A child process.
#[derive(Debug)]
pub struct Process {
    child: Child,
    suspended: bool,
}

impl Process {
    /// Starts it.
    ///
    /// # Errors
    ///
    /// If the command cannot be started.
    pub fn start(command: &mut Command) -> io::Result<Self> {
        Ok(Process { child: command.spawn()?, suspended: false })
    }

    /// Its process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    fn signal(&self, signal: Signal) -> io::Result<()> {
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        let pid = pid.ok_or_else(|| io::Error::other("no process has this number"))?;
        kill_process(pid, signal).map_err(io::Error::from)
    }

    /// Suspends it (SIGSTOP): its connections stay open and silent.
    ///
    /// # Errors
    ///
    /// If the signal cannot be sent.
    pub fn suspend(&mut self) -> io::Result<()> {
        self.suspended = true;
        self.signal(Signal::STOP)
    }

    /// Resumes it (SIGCONT).
    ///
    /// # Errors
    ///
    /// If the signal cannot be sent.
    pub fn resume(&mut self) -> io::Result<()> {
        self.suspended = false;
        self.signal(Signal::CONT)
    }

    /// Whether it is suspended.
    pub fn is_suspended(&self) -> bool {
        self.suspended
    }

    /// Asks it to end (SIGTERM) and waits until it has.
    ///
    /// # Errors
    ///
    /// If the signal cannot be sent, or the process cannot be waited for.
    pub fn terminate(&mut self) -> io::Result<ExitStatus> {
        self.signal(Signal::TERM)?;
        self.child.wait()
    }

    /// Kills it (SIGKILL) and waits for its end.
    ///
    /// # Errors
    ///
    /// If the signal cannot be sent, or the process cannot be waited for.
    pub fn kill(&mut self) -> io::Result<()> {
        self.child.kill()?;
        self.child.wait().map(drop)
    }

    /// How it ended, if it has.
    ///
    /// # Errors
    ///
    /// If its state cannot be read.
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
