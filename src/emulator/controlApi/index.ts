import * as z from "zod";
import { Address, DEFAULT_HTTP_LIMITS, Http, HttpRequest, HttpResponse, Listener } from "../../ports/index.js";
import { readJson, sendEmpty, sendJson } from "../_lib/json.js";
import { applyAction, ControlAction, controlActionSchema } from "../controlAction/index.js";
import { Emulator } from "../emulator/index.js";
import { KeyWatch } from "../keyWatch/index.js";

/** Answer to `GET /runs`: how often each service call and each chat request ran. */
export const runsSchema = z.object({
    calls: z.array(z.object({ service: z.string(), digest: z.string(), runs: z.int() })),
    chats: z.array(z.object({ request: z.string(), runs: z.int(), tokens: z.int() })),
});
export type Runs = z.infer<typeof runsSchema>;

/** Paths of the emulator's control API. */
export const CONTROL_PATHS = {
    stats: "/stats",
    runs: "/runs",
    orders: "/orders",
    reports: "/reports",
    do: "/do",
} as const;

/**
 * HTTP API that controls the emulator: `GET /stats`, `/runs`, `/orders` and `/reports` return what it has received and
 * run, and `POST /do` applies an action, such as a fault.
 */
export class ControlApi {
    constructor(
        private readonly http: Http,
        private readonly emulator: Emulator,
        private readonly keyWatch: KeyWatch,
    ) {}

    /** Listens on the address; port 0 selects any free port. */
    async start(address: Address): Promise<Listener> {
        return this.http.serve(address, DEFAULT_HTTP_LIMITS, (req, res) => this.handle(req, res));
    }

    private async handle(req: HttpRequest, res: HttpResponse): Promise<void> {
        if (req.path === CONTROL_PATHS.stats) return sendJson(res, 200, this.emulator.stats());
        if (req.path === CONTROL_PATHS.runs) return sendJson(res, 200, this.listRuns());
        if (req.path === CONTROL_PATHS.orders) return sendJson(res, 200, this.emulator.platform.orders.log.orders);
        if (req.path === CONTROL_PATHS.reports) return sendJson(res, 200, this.emulator.platform.usage.received);
        if (req.path !== CONTROL_PATHS.do) return sendJson(res, 404, { error: "no such path" });
        const body = await readJson(req, controlActionSchema);
        body.caseOf({
            Left: err => sendJson(res, 400, { error: err.message }),
            Right: action => this.applyAndAnswer(action, res),
        });
    }

    private listRuns(): Runs {
        return { calls: this.emulator.runLedger.list(), chats: this.emulator.chatLedger.list() };
    }

    private applyAndAnswer(action: ControlAction, res: HttpResponse): void {
        applyAction(this.emulator, this.keyWatch, action).caseOf({
            Left: err => sendJson(res, err.reason === "no-upstream" ? 404 : 400, { error: err.message }),
            Right: () => sendEmpty(res, 204),
        });
    }
}
