//! Control port of targets.

use http_types::Method;
use http_types::Request;
use http_types::Response;
use http_types::StatusCode;

use super::Counts;
use super::Target;
use super::state::State;
use crate::Query;
use crate::Result;
use crate::Stream;
use crate::server::Service;
use crate::server::json;
use crate::server::text;

/// Control port of targets: `GET /runs` and `POST /set?addr=ADDR&cold=1`.
///
/// `/set` takes `cold`, `drain=TIME`, `down=TIME`, `silence`, `late=TIME`,
/// `crossed=N` and `claim=PHASE`, for one target or for all.
#[derive(Debug)]
pub struct Control(pub Vec<Target>);

impl Service for Control {
    async fn answer(&self, req: Request, _: Stream) -> Result<Response> {
        match (req.method(), req.url().path()) {
            (Method::Get, "/runs") => {
                let counts: Vec<Counts> = self.0.iter().map(Target::counts).collect();
                json(&counts)
            }
            (Method::Post, "/set") => self.set(&Query::of(&req)),
            _ => Ok(text(StatusCode::NotFound, "no such path")),
        }
    }
}

impl Control {
    fn set(&self, query: &Query) -> Result<Response> {
        let addr = query.get("addr");
        let meant = |t: &&Target| addr.is_none_or(|addr| addr == t.addr.to_string());
        for target in self.0.iter().filter(meant) {
            apply(&mut target.state(), query)?;
        }
        Ok(text(StatusCode::Ok, "changed"))
    }
}

fn apply(state: &mut State, query: &Query) -> Result<()> {
    if query.get("cold").is_some() {
        state.cool();
    }
    if query.get("silence").is_some() {
        state.silence();
    }
    if let Some(time) = query.duration("drain")? {
        state.drain(time);
    }
    if let Some(time) = query.duration("down")? {
        state.stop(time);
    }
    if let Some(time) = query.duration("late")? {
        state.delay(time);
    }
    if let Some(answers) = query.number("crossed")? {
        state.cross(answers);
    }
    if let Some(phase) = query.get("claim") {
        state.claim(Some(phase.to_owned()).filter(|p| !p.is_empty()));
    }
    Ok(())
}
