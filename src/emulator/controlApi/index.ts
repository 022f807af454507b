import * as z from "zod";
import { Address, DEFAULT_HTTP_LIMITS, Http, HttpRequest, HttpResponse, Listener } from "../../ports/index.js";
import { readJson, sendEmpty, sendJson } from "../_lib/json.js";
import { applyAction, ControlAction, controlActionSchema } from "../controlAction/index.js";
import { KeyWatch } from "../keyWatch/index.js";
import { StandInSet } from "../standInSet/index.js";

/** What ran: the answer to `GET /runs`. */
export const runsSchema = z.object({
    calls: z.array(z.object({ service: z.string(), digest: z.string(), runs: z.int() })),
    chats: z.array(z.object({ request: z.string(), runs: z.int(), tokens: z.int() })),
});
export type Runs = z.infer<typeof runsSchema>;

/** Where the emulator is asked and steered. */
export const CONTROL_PATHS = {
    stats: "/stats",
    runs: "/runs",
    orders: "/orders",
    reports: "/reports",
    do: "/do",
} as const;

/**
 * The emulator's own port: `GET /stats`, `/runs`, `/orders` and `/reports` tell what came, and `POST /do` brings about
 * faults.
 */
export class ControlApi {
    constructor(private readonly http: Http, private readonly set: StandInSet, private readonly watch: KeyWatch) {}

    /** Listens; port 0 means any free one. */
    async start(address: Address): Promise<Listener> {
        return this.http.serve(address, DEFAULT_HTTP_LIMITS, (req, res) => this.handle(req, res));
    }

    private async handle(req: HttpRequest, res: HttpResponse): Promise<void> {
        if (req.path === CONTROL_PATHS.stats) return sendJson(res, 200, this.set.stats());
        if (req.path === CONTROL_PATHS.runs) return sendJson(res, 200, this.listRuns());
        if (req.path === CONTROL_PATHS.orders) return sendJson(res, 200, this.set.platform.orders.log.orders);
        if (req.path === CONTROL_PATHS.reports) return sendJson(res, 200, this.set.platform.usage.received);
        if (req.path !== CONTROL_PATHS.do) return sendJson(res, 404, { error: "no such path" });
        const body = await readJson(req, controlActionSchema);
        body.caseOf({
            Left: err => sendJson(res, 400, { error: err.message }),
            Right: action => this.answer(action, res),
        });
    }

    private listRuns(): Runs {
        return { calls: this.set.ledger.list(), chats: this.set.chats.list() };
    }

    private answer(action: ControlAction, res: HttpResponse): void {
        applyAction(this.set, this.watch, action).caseOf({
            Left: err => sendJson(res, err.reason === "no-upstream" ? 404 : 400, { error: err.message }),
            Right: () => sendEmpty(res, 204),
        });
    }
}
