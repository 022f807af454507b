import { Address, Connection, MemoryFabric } from "../../ports/index.js";

const HEAD_END = "\r\n\r\n";

/** A request received by the platform. */
export interface PlatformRequest {
    readonly path: string;
    readonly body: Readonly<Record<string, unknown>>;
    /** Arrival time, on the fabric's monotonic clock, in milliseconds. */
    readonly at: number;
    readonly status: number;
}

/**
 * In-memory platform that receives reports and orders over a `MemoryFabric`, for tests of the holder's tasks.
 *
 * @example
 * const platform = new MemoryPlatform(fabric, { checksFence: true });
 * await platform.listen(address);
 */
export class MemoryPlatform {
    readonly requests: PlatformRequest[] = [];
    /** False: requests are recorded but not answered. */
    isReplying = true;
    private highestToken = 0;

    constructor(private readonly fabric: MemoryFabric, private readonly options: { readonly checksFence: boolean; }) {}

    async listen(address: Address): Promise<void> {
        await this.fabric.network(address.host).listen(address, connection => void this.serve(connection));
    }

    private async serve(connection: Connection): Promise<void> {
        let text = "";
        for (;;) {
            const chunk = await connection.receive();
            if (!chunk) return;
            text += Buffer.from(chunk).toString();
            const [head, json] = text.split(HEAD_END);
            const length = Number(/content-length: (\d+)/.exec(head)?.[1] ?? NaN);
            if (json !== undefined && json.length >= length) break;
        }
        const [head, json] = text.split(HEAD_END);
        const status = this.record(head.split(" ")[1], JSON.parse(json) as Record<string, unknown>);
        if (!this.isReplying) return;
        const body = JSON.stringify({ order_id: "", upstreams: ["u1"] });
        connection.send(Buffer.from(`HTTP/1.1 ${status} X\r\ncontent-length: ${body.length}${HEAD_END}${body}`));
    }

    private record(path: string, body: Readonly<Record<string, unknown>>): number {
        const token = body.fencing_token as number;
        const status = this.options.checksFence && token < this.highestToken ? 409 : 200;
        this.highestToken = Math.max(this.highestToken, token);
        this.requests.push({ path, body, at: this.fabric.clock.monotonic(), status });
        return status;
    }
}
