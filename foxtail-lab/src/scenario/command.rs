//! The commands of scripts.

use std::collections::BTreeMap;
use std::str::FromStr;

use foxtail_types::prelude::*;

use super::world::{Load, Scenario, Setup};

/// The arguments of a command: `name=value`.
pub type Args = BTreeMap<String, String>;

/// Why a command was not understood.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// No such command.
    #[error("unknown command `{0}`")]
    Unknown(String),
    /// An argument is missing.
    #[error("argument `{0}` is missing")]
    Missing(&'static str),
    /// An argument can't be read.
    #[error("argument `{name}` can't be `{value}`")]
    Bad {
        /// The argument.
        name: &'static str,
        /// What was given.
        value: String,
    },
}

impl Scenario {
    /// Runs one command and returns what it prints.
    ///
    /// - `world upstreams=4 slots=3 service=20ms delay=35ms mbit=300 archive=30 shift=50`
    /// - `load from=sabah rate=100 class=archive deadline=30s answer=50KB`: requests a second,
    ///   until `load` with `rate=0`; `answer` is what the template says, `sends` what is sent
    /// - `run for=10s`
    /// - `drain region=sabah`, `undrain region=sabah`
    /// - `lose region=sabah`, `restore region=sabah`
    /// - `measurements stop=true`: reports and heartbeats stop arriving
    /// - `reports idle=true`: upstreams report themselves idle, whatever they do
    /// - `leaving region=sabah upstream=0`: an upstream begins to leave
    /// - `store down=true withheld=true`: the table is down, and the hosts of each region have
    ///   promised their owners to leave the shards alone, or not
    /// - `poison from=sabah senders=3`: callers that send one crashing request again and again
    ///
    /// # Errors
    ///
    /// [`Error`] if the command was not understood.
    pub fn command(&mut self, name: &str, args: &Args) -> Result<String, Error> {
        match name {
            "world" => *self = Scenario::new(&setup(args)?),
            "load" => {
                let load = load(self, args)?;
                self.set_load(load);
            }
            "run" => return Ok(self.run(span(args, "for")?)),
            "drain" | "undrain" => {
                let region = region(self, args, "region")?;
                self.drain(region, name == "drain");
            }
            "lose" | "restore" => {
                let region = region(self, args, "region")?;
                self.lose(region, name == "lose");
            }
            "measurements" => self.faults.deaf = parse(args, "stop")?,
            "reports" => self.faults.reports_idle = parse(args, "idle")?,
            "leaving" => {
                let region = region(self, args, "region")?;
                self.leave(region, parse(args, "upstream")?);
            }
            "store" => {
                self.faults.store_down = parse(args, "down")?;
                self.faults.withheld = parse_or(args, "withheld", true)?;
            }
            "poison" => {
                let region = region(self, args, "from")?;
                self.poison(region, parse(args, "senders")?);
            }
            _ => return Err(Error::Unknown(name.to_owned())),
        }
        Ok("ok\n".to_owned())
    }
}

fn setup(args: &Args) -> Result<Setup, Error> {
    Ok(Setup {
        upstreams: parse_or(args, "upstreams", 4)?,
        slots: parse_or(args, "slots", 3)?,
        service: span_or(args, "service", Millis(20))?,
        delay: span_or(args, "delay", Millis(35))?,
        mbit: parse_or(args, "mbit", 300)?,
        archive: parse_or(args, "archive", 30)?,
        shift: parse_or(args, "shift", 50)?,
    })
}

fn load(scenario: &Scenario, args: &Args) -> Result<Load, Error> {
    let class = args.get("class").map_or("interactive", String::as_str);
    let class = Class::from_str(class).map_err(|_| bad("class", class))?;
    let archive = class == Class::Archive;
    Ok(Load {
        from: region(scenario, args, "from")?,
        class,
        rate: parse(args, "rate")?,
        deadline: span_or(args, "deadline", Millis::secs(if archive { 30 } else { 2 }))?,
        answer_bytes: bytes(args, "answer", 2_000)?,
    })
}

fn region(scenario: &Scenario, args: &Args, name: &'static str) -> Result<usize, Error> {
    let value = args.get(name).ok_or(Error::Missing(name))?;
    scenario.region(value).ok_or_else(|| bad(name, value))
}

fn parse<T: FromStr>(args: &Args, name: &'static str) -> Result<T, Error> {
    let value = args.get(name).ok_or(Error::Missing(name))?;
    value.parse().map_err(|_| bad(name, value))
}

fn parse_or<T: FromStr>(args: &Args, name: &'static str, default: T) -> Result<T, Error> {
    if args.contains_key(name) { parse(args, name) } else { Ok(default) }
}

fn span(args: &Args, name: &'static str) -> Result<Millis, Error> {
    let value = args.get(name).ok_or(Error::Missing(name))?;
    let units = [("ms", 1), ("s", 1_000), ("m", 60_000)];
    let read = |(unit, factor): &(&str, u64)| {
        value.strip_suffix(unit).and_then(|n| n.parse::<u64>().ok()).map(|n| Millis(n * factor))
    };
    units.iter().find_map(read).ok_or_else(|| bad(name, value))
}

fn span_or(args: &Args, name: &'static str, default: Millis) -> Result<Millis, Error> {
    if args.contains_key(name) { span(args, name) } else { Ok(default) }
}

fn bytes(args: &Args, name: &'static str, default: u64) -> Result<u64, Error> {
    let Some(value) = args.get(name) else { return Ok(default) };
    let kilo = value.strip_suffix("KB").and_then(|n| n.parse::<u64>().ok());
    kilo.map(|n| n * 1_000).ok_or_else(|| bad(name, value))
}

fn bad(name: &'static str, value: &str) -> Error {
    Error::Bad { name, value: value.to_owned() }
}
