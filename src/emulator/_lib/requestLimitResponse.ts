import { HeaderList, HttpResponse } from "../../ports/index.js";
import { REQUEST_LIMIT_HEADER } from "../../protocol/index.js";

/** Response that states its upstream's request limit in a header. */
export class RequestLimitResponse extends HttpResponse {
    /** @param perSecond - Limit in requests per second, over all hosts together. */
    constructor(private readonly res: HttpResponse, private readonly perSecond: number) {
        super();
    }

    head(status: number, headers: HeaderList): void {
        this.res.head(status, [...headers, [REQUEST_LIMIT_HEADER, String(this.perSecond)]]);
    }

    write(chunk: string | Uint8Array): Promise<void> {
        return this.res.write(chunk);
    }

    end(chunk?: string | Uint8Array): void {
        this.res.end(chunk);
    }

    reset(): void {
        this.res.reset();
    }
}
