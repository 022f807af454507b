import { createServer, Server } from "node:net";

/**
 * Finds ports that nothing listens on.
 *
 * @param count - How many.
 */
export async function findFreePorts(count: number): Promise<number[]> {
    const servers = await Promise.all(Array.from({ length: count }, listenAnywhere));
    const ports = servers.map(server => (server.address() as { port: number; }).port);
    await Promise.all(servers.map(server => new Promise(done => server.close(done))));
    return ports;
}

function listenAnywhere(): Promise<Server> {
    const server = createServer();
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(0, "127.0.0.1", () => resolve(server));
    });
}
