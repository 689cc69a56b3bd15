//! Runs an instance of a relay fleet, configured by the platform's settings file.

use std::{path::Path, process::ExitCode, sync::Arc, time::Duration};

use anyhow::{Context, Result};
use poplarspan_platform::{Platform, parse_settings};
use poplarspan_relay::{Relay, RunningInstance, Settings};
use tokio::{
    signal::unix::{SignalKind, signal},
    time::{MissedTickBehavior, interval},
};

use crate::flags::NodeFlags;

/// How often the settings file is read again, since it may change without a SIGHUP.
const RELOAD_INTERVAL: Duration = Duration::from_secs(2);

pub(crate) async fn run(flags: NodeFlags) -> Result<ExitCode> {
    // Installed first, because the default action of these signals terminates the process.
    let mut signals = Signals::new()?;
    let text = read(&flags.settings)?;
    let settings = parse(&text, &flags)?;
    let protocol = Arc::new(Platform);
    let relay = Relay { settings, protocol, tls: flags.tls.files() };
    let running = tokio::select! {
        running = relay.start() => running?,
        // The start may wait for free disk space.
        _ = signals.terminate.recv() => return Ok(ExitCode::SUCCESS),
        _ = signals.interrupt.recv() => return Ok(ExitCode::SUCCESS),
    };
    let mut current_text = text;
    let mut reload_timer = interval(RELOAD_INTERVAL);
    reload_timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = signals.terminate.recv() => break,
            _ = signals.interrupt.recv() => break,
            _ = signals.hangup.recv() => reload(&running, &flags, &mut current_text),
            _ = reload_timer.tick() => reload(&running, &flags, &mut current_text),
            e = running.failed() => return Err(e).context("the instance failed"),
        }
    }
    let open_connections = running.shutdown().await;
    Ok(if open_connections == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

struct Signals {
    terminate: tokio::signal::unix::Signal,
    interrupt: tokio::signal::unix::Signal,
    hangup: tokio::signal::unix::Signal,
}

impl Signals {
    fn new() -> Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }
}

fn read(path: &Path) -> Result<String> {
    std::fs::read_to_string(path).with_context(|| format!("cannot read {}", path.display()))
}

fn parse(text: &str, flags: &NodeFlags) -> Result<Settings> {
    let settings = parse_settings(text, flags.metrics_port)
        .with_context(|| format!("cannot use {}", flags.settings.display()))?;
    let admits_by_delay = flags.admit_by_delay && settings.measures_limits;
    Ok(Settings { admits_by_delay, ..settings })
}

/// Applies changed settings. If the file is unreadable or invalid, the current settings stay.
fn reload(running: &RunningInstance, flags: &NodeFlags, current_text: &mut String) {
    let changed = read(&flags.settings).and_then(|text| {
        let settings = (text != *current_text).then(|| parse(&text, flags)).transpose()?;
        Ok((text, settings))
    });
    match changed {
        Ok((text, Some(settings))) => {
            running.reload(&settings);
            *current_text = text;
        }
        Ok((_, None)) => {}
        Err(e) => {
            let error = format!("{e:#}");
            log::error!(error = error.as_str(); "cannot reload settings; keeping the current ones");
        }
    }
}
