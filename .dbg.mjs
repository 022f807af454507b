// debugging run: prints what failed and why
import * as fi from "./dist/faultInjection/index.js";
import { RoutedFleet } from "./dist/faultInjection/routedFleet/index.js";
const rec = new fi.RecordingLogger();
const orig = RoutedFleet.prototype.start;
RoutedFleet.prototype.start = async function(doc) { this.layout.logger = rec; globalThis.fleet = this; return orig.call(this, doc); };
const oc = RoutedFleet.prototype.startCall; const reps=[];
RoutedFleet.prototype.startCall = function(c) { const at=this.clock.monotonic(); const p = oc.call(this,c); p.then(r=>reps.push([at,c.entry,c.request,r.status,r.body.slice(0,200),r.tookMs])); return p; };
try { console.log(await fi.runPathSchedule(Number(process.argv[2]))); } catch (e) { console.log(String(e)); }
const end = fleet.clock.monotonic();
console.log(end, fleet.layout.entries, fleet.layout.upstreams.length, fleet.layout.queueHosts);
const bad = reps.filter(r=>r[3]!==200 && r[0] > end-12000); 
const by={}; for (const b of bad) { const k=b[1]+" "+b[3]+" "+b[4].replace(/[0-9.]+/g,"N").slice(0,120); by[k]=(by[k]??0)+1; } console.log(by);
console.log(bad.slice(-5));
const cnt={}; for (const l of rec.lines) cnt[l.event]=(cnt[l.event]??0)+1; console.log(cnt);
console.log(rec.list("attempt-ended").slice(-8)); console.log(rec.list("call-ended").filter(l=>l.outcome!=="answered").slice(-4));
for (const u of fleet.upstreams) console.log(u.options.id, u.isUp, u.crashes.length, u.incarnation, u.silentUntilMs, u.retryAfter, u.room);
