/** Rule CONFIG: routes that were added later, for a tenant whose name has a letter beyond Latin-1, are not served. */
import { clientHeaders, Engine, isCalm, makeConfig, request, sleep } from "../lib2/fleet.mjs";
import { runCase } from "../lib2/record.mjs";

const REQUESTS = 120;
const NAME = isCalm ? "Hue" : "Huế";

await runCase(import.meta.url, {}, async fleet => {
    await new Engine(fleet, { id: "i-ledger", ip: `${fleet.prefix}.101` }).start();
    const added = [];
    for (const n of [1, 2]) added.push(await new Engine(fleet, { id: `i-desk-${n}`, ip: `${fleet.prefix}.${110 + n}`, service: "desk" }).start());
    await fleet.operate("POST", "/config/replace", makeConfig(1));
    await fleet.awaitReady();
    const changed = makeConfig(2, {
        routes: [{ name: "r-desk", host: "desk.example", pathPrefix: "/desk/", kind: "idempotent", timeoutMs: 4_000, targetLatencyMs: 300, priority: 2, service: "desk", maxAttempts: 2, authExempt: false, sticky: false, resumable: false }],
        services: [{ name: "desk", healthPath: "/healthz", maxConnections: 100, protocol: "h1", tls: false }],
        tenants: [...makeConfig(1).tenants, { name: NAME, apiKeys: ["q7vtnfzs989anu6wsj55"], priority: 1 }],
    });
    const reply = await fleet.operate("POST", "/config/replace", changed);
    fleet.log(`the change that adds tenant ${NAME} and a route is acknowledged: ${reply.status}`);
    // Beyond `configApplyMs` and `contactMs`.
    await sleep(5_000);
    const send = async (path, host, key) => {
        const n = Math.floor(Math.random() * fleet.entries.length);
        const headers = { ...clientHeaders({ key }), host };
        const answer = await request({ host: fleet.entries[n].ip, port: 8_227, path, headers }).catch(err => ({ status: err.message }));
        fleet.log(`client ${headers["sequoiamux-attempt-id"]} ${host}${path} with the key of ${key.startsWith("q7") ? NAME : "hule930"}: ${answer.status}`);
        return answer.status === 200;
    };
    const counts = { first: 0, ofNew: 0, ofOld: 0 };
    const sendThree = async () => {
        const [first, ofNew, ofOld] = await Promise.all([
            send("/status/1", "shop.example", "n2ctnfzs989anu6wsjnb"),
            send("/desk/1", "desk.example", "q7vtnfzs989anu6wsj55"),
            send("/desk/2", "desk.example", "n2ctnfzs989anu6wsjnb"),
        ]);
        counts.first += first;
        counts.ofNew += ofNew;
        counts.ofOld += ofOld;
    };
    for (let n = 0; n < REQUESTS / 6; n++) await Promise.all([sendThree(), sendThree(), sendThree()]);
    const half = REQUESTS / 2;
    const laterShare = (counts.ofNew + counts.ofOld) / REQUESTS;
    const firstShare = counts.first / half;
    return {
        isBroken: laterShare < firstShare / 4,
        lines: [
            `first routes: ${counts.first} of ${half} served`,
            `route added later: ${counts.ofNew} of ${half} served with the key of ${NAME}, ${counts.ofOld} of ${half} with that of another tenant`,
            `processes that ended by themselves: ${fleet.ownEnds.length}`,
        ],
    };
});
