import { createHash } from "node:crypto";
import { FileHandle, mkdir, open, readdir, readFile, rename, rm } from "node:fs/promises";
import { createServer } from "node:net";
import { dirname, join, resolve } from "node:path";
import { AppendFile, Disk, DiskError, DiskLock } from "../disk/index.js";

/**
 * Files on the machine's disk.
 *
 * @example
 * const disk = new FileDisk("/var/lib/sequoiamux");
 */
export class FileDisk extends Disk {
    /** @param root - The data folder. */
    constructor(private readonly root: string) {
        super();
    }

    async makeFolder(path: string): Promise<void> {
        await turnErrors(async () => {
            await mkdir(this.full(path), { recursive: true });
            await syncFolder(dirname(this.full(path)));
        });
    }

    async list(path: string): Promise<string[]> {
        return turnErrors(async () => (await readdir(this.full(path))).sort());
    }

    async read(path: string): Promise<Uint8Array | undefined> {
        try {
            return await readFile(this.full(path));
        }
        catch (err) {
            if (isMissing(err)) return undefined;
            throw turnError(err);
        }
    }

    async openAppend(path: string): Promise<AppendFile> {
        return turnErrors(async () => {
            const handle = await open(this.full(path), "a+");
            const { size } = await handle.stat();
            await syncFolder(dirname(this.full(path)));
            return new FileAppend(handle, size);
        });
    }

    async replace(path: string, bytes: Uint8Array): Promise<void> {
        const target = this.full(path);
        const draft = `${target}.draft`;
        await turnErrors(async () => {
            const handle = await open(draft, "w");
            try {
                await handle.writeFile(bytes);
                await handle.sync();
            }
            finally {
                await handle.close();
            }
            await rename(draft, target);
            await syncFolder(dirname(target));
        });
    }

    async remove(path: string): Promise<void> {
        await turnErrors(() => rm(this.full(path), { force: true }));
    }

    /**
     * The lock is a listening socket in Linux's abstract namespace, named after the folder: the kernel drops it with
     * the process, so that a crash never leaves a stale lock behind, as a lock file would. A machine without such sockets is taken to
     * run one process for each folder: there is no other lock that ends with its process.
     */
    async lock(): Promise<DiskLock> {
        const name = createHash("sha256").update(resolve(this.root)).digest("hex").slice(0, 32);
        const server = createServer();
        const isLocked = await new Promise<boolean>((done, fail) => {
            server.once("error", (err: NodeJS.ErrnoException) => {
                if (err.code !== "EADDRINUSE") return done(false);
                fail(new DiskError("locked", `${this.root} is in use by another process`));
            });
            server.listen(`\0sequoiamux-${name}`, () => done(true));
        });
        if (!isLocked) return { release: async () => undefined };
        server.unref();
        return { release: () => new Promise<void>(done => server.close(() => done())) };
    }

    private full(path: string): string {
        return join(this.root, path);
    }
}

class FileAppend extends AppendFile {
    constructor(private readonly handle: FileHandle, private written: number) {
        super();
    }

    get size(): number {
        return this.written;
    }

    async append(bytes: Uint8Array): Promise<void> {
        await turnErrors(() => this.handle.appendFile(bytes));
        this.written += bytes.length;
    }

    async sync(): Promise<void> {
        await turnErrors(() => this.handle.datasync());
    }

    async truncate(size: number): Promise<void> {
        await turnErrors(async () => {
            await this.handle.truncate(size);
            await this.handle.sync();
        });
        this.written = size;
    }

    async close(): Promise<void> {
        await this.handle.close();
    }
}

async function syncFolder(path: string): Promise<void> {
    const handle = await open(path, "r");
    try {
        await handle.sync();
    }
    finally {
        await handle.close();
    }
}

async function turnErrors<Value>(work: () => Promise<Value>): Promise<Value> {
    try {
        return await work();
    }
    catch (err) {
        throw turnError(err);
    }
}

function isMissing(err: unknown): boolean {
    return (err as NodeJS.ErrnoException).code === "ENOENT";
}

function turnError(err: unknown): DiskError {
    if (err instanceof DiskError) return err;
    const { code, message } = err as NodeJS.ErrnoException;
    if (code === "ENOSPC" || code === "EDQUOT") return new DiskError("full", message);
    return new DiskError(code === "ENOENT" ? "missing" : "io", message);
}
