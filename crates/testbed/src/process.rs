//! A process of the program that can be stopped, continued and killed. It ends with whoever holds it.

use std::io;
use std::process::{Child, Command, ExitStatus};

use rustix::process::{Pid, Signal, kill_process};

/// A process.
#[derive(Debug)]
pub struct Process {
    child: Child,
    stopped: bool,
}

impl Process {
    /// Starts it.
    pub fn start(command: &mut Command) -> io::Result<Self> {
        Ok(Process { child: command.spawn()?, stopped: false })
    }

    /// Its number.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    fn signal(&self, signal: Signal) -> io::Result<()> {
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        let pid = pid.ok_or_else(|| io::Error::other("no process has this number"))?;
        kill_process(pid, signal).map_err(io::Error::from)
    }

    /// Stops it (SIGSTOP): its connections stay open and silent.
    pub fn stop(&mut self) -> io::Result<()> {
        self.stopped = true;
        self.signal(Signal::STOP)
    }

    /// Continues it.
    pub fn go_on(&mut self) -> io::Result<()> {
        self.stopped = false;
        self.signal(Signal::CONT)
    }

    /// Whether it was stopped.
    pub fn stopped(&self) -> bool {
        self.stopped
    }

    /// Asks it to end (SIGTERM) and waits until it has.
    pub fn end(&mut self) -> io::Result<ExitStatus> {
        self.signal(Signal::TERM)?;
        self.child.wait()
    }

    /// Kills it outright and waits for its end.
    pub fn kill(&mut self) -> io::Result<()> {
        self.child.kill()?;
        self.child.wait().map(drop)
    }

    /// How it ended, if it has.
    pub fn ended(&mut self) -> io::Result<Option<ExitStatus>> {
        self.child.try_wait()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
