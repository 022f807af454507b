import { HeaderList, HttpResponse } from "../../ports/index.js";

/** Response to whose head headers are added in which its upstream states something about itself. */
export class StatementResponse extends HttpResponse {
    constructor(private readonly res: HttpResponse, private readonly statements: HeaderList) {
        super();
    }

    head(status: number, headers: HeaderList): void {
        this.res.head(status, [...headers, ...this.statements]);
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
